/** Checks that a response belongs to its request and that its end can be detected. */
import {headerPairs} from './credential-headers.js';
import {type ResponseHead} from './endpoint-transport.js';

/** Header that carries a request's id to an endpoint and back. */
export const requestIdHeader = 'x-request-id';

const noContent = 204;
const notModified = 304;
const maxStatus = 599;

/** Whether the status has one of HTTP's classes. A caller can't know whether another one is a success or an error. */
export const hasStatusClass = (status: number): boolean => status <= maxStatus;

/** Whether responses with this status have no body, whatever length they state. */
export function isBodiless(status: number): boolean {
	return status === noContent || status === notModified;
}

/** Returns the first value of a header, or `undefined` if it is absent. */
export function headerValue(headers: readonly string[], wanted: string): string | undefined {
	for (const {name, value} of headerPairs(headers)) {
		if (name === wanted) {
			return value;
		}
	}

	return undefined;
}

/** Whether a response carries the request's id, another id, or none. */
export type ResponseIdentity = 'own' | 'foreign' | 'none';

/** Compares the id that a response carries with the request's. */
export function identifyResponse(head: ResponseHead, requestId: string): ResponseIdentity {
	let identity: ResponseIdentity = 'none';
	for (const {name, value} of headerPairs(head.headers)) {
		if (name !== requestIdHeader) {
			continue;
		}

		if (value !== requestId) {
			return 'foreign';
		}

		identity = 'own';
	}

	return identity;
}

/** The values of all `Transfer-Encoding` headers in lower case; `undefined` if there is none. */
function transferCoding(headers: readonly string[]): string | undefined {
	let coding: string | undefined;
	for (const {name, value} of headerPairs(headers)) {
		if (name === 'transfer-encoding') {
			coding = coding === undefined ? value.toLowerCase() : `${coding}, ${value.toLowerCase()}`;
		}
	}

	return coding;
}

/** Whether a response with these headers has neither a length nor chunks, so that a body ends with its connection. */
export function isUnframed(headers: readonly string[]): boolean {
	const coding = transferCoding(headers);
	return coding === undefined ? headerValue(headers, 'content-length') === undefined : coding !== 'chunked';
}

/** Codings that leave a body as it is. */
const plainCodings: ReadonlySet<string | undefined> = new Set([undefined, 'chunked', 'identity', '']);

/**
 * Whether a body has a transfer coding other than chunks. No request asks for one, and parsers differ on which
 * lists of codings end in chunks.
 */
export const hasOtherCoding = (headers: readonly string[]): boolean => !plainCodings.has(transferCoding(headers));

/**
 * Whether truncation of a response can be detected: it has a length, is chunked,
 * or has no body. A response that ends when its connection closes looks the same
 * if the endpoint crashed half-way.
 */
export function isSelfDelimiting(head: ResponseHead, method: string): boolean {
	return method === 'HEAD' || isBodiless(head.status) || !isUnframed(head.headers);
}
