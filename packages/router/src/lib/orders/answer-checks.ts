/** Whether an answer belongs to its request, and whether its end will be provable. */
import {headerPairs} from './credential-headers.js';
import {type AnswerHead} from './endpoint-transport.js';

/** Header that carries a request's id to an endpoint and back. */
export const requestIdHeader = 'x-request-id';

const noContent = 204;
const notModified = 304;

/** Whether answers of this status have no body, whatever length they state. */
export function isBodiless(status: number): boolean {
	return status === noContent || status === notModified;
}

/** First value of a header; `undefined` when it is absent. */
export function headerValue(headers: readonly string[], wanted: string): string | undefined {
	for (const {name, value} of headerPairs(headers)) {
		if (name === wanted) {
			return value;
		}
	}

	return undefined;
}

/** How an answer's id stands to the request's. */
export type AnswerIdentity = 'own' | 'foreign' | 'none';

/** Compares the id that an answer carries with the request's. */
export function identifyAnswer(head: AnswerHead, requestId: string): AnswerIdentity {
	let identity: AnswerIdentity = 'none';
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

/**
 * Whether a cut in an answer would be noticed: it has a length, or chunks with
 * an end, or no body at all. An answer that ends with its connection looks the
 * same when the endpoint died half way.
 */
export function hasProvableEnd(head: AnswerHead, method: string): boolean {
	if (method === 'HEAD' || isBodiless(head.status)) {
		return true;
	}

	if (headerValue(head.headers, 'content-length') !== undefined) {
		return true;
	}

	return headerValue(head.headers, 'transfer-encoding')?.toLowerCase() === 'chunked';
}
