/**
 * Refuses requests that two HTTP implementations could parse differently.
 *
 * If the router and an endpoint disagree on where a request ends, the rest of
 * one caller's body becomes the next caller's request on that connection
 * (request smuggling). Node's parser refuses most such messages; these checks
 * cover those that it accepts.
 */
import {connectionOptions, headerPairs} from './credential-headers.js';

/** The part of a request's head that the checks read. */
export type RequestHead = {
	method: string;
	/** Path below the service, with query. */
	path: string;
	httpVersion: string;
	rawHeaders: readonly string[];
};

/** Codes of refused requests, with their messages. */
export const requestFaults = {
	malformed_framing: 'The length of the body is given in a way that can be read differently. Send one Content-Length, or Transfer-Encoding: chunked.',
	malformed_host: 'Send exactly one Host header.',
	malformed_path: 'The path has dot segments, backslashes or bytes outside of visible ASCII. Send the path in its plain form.',
	method_not_supported: 'This method is not passed on to services.',
	trailers_not_supported: 'Trailers of a request are not passed on. Send what they say in a header.',
	upgrade_not_supported: 'Connections to services cannot be upgraded.',
} as const;

/** Name of a row of {@link requestFaults}. */
export type RequestFault = keyof typeof requestFaults;

const supportedMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);
const visibleAscii = /^[!-~]*$/v;
const dotSegment = /^(?:\.|%2e){1,2}$/iv;

function headerValues(rawHeaders: readonly string[], wanted: string): string[] {
	const found: string[] = [];
	for (const {name, value} of headerPairs(rawHeaders)) {
		if (name === wanted) {
			found.push(value);
		}
	}

	return found;
}

function hasUnambiguousFraming(head: RequestHead): boolean {
	const lengths = headerValues(head.rawHeaders, 'content-length');
	const encodings = headerValues(head.rawHeaders, 'transfer-encoding');
	if (lengths.length + encodings.length > 1) {
		return false;
	}

	if (encodings.length === 1) {
		return head.httpVersion === '1.1' && encodings[0].toLowerCase() === 'chunked';
	}

	return lengths.length === 0 || /^\d+$/v.test(lengths[0]);
}

function isNormalizedPath(path: string): boolean {
	if (!path.startsWith('/') || !visibleAscii.test(path) || path.includes('\\') || path.includes('#')) {
		return false;
	}

	for (const segment of path.split('?', 1)[0].split('/')) {
		if (dotSegment.test(segment) || /%(?:2f|5c|00)/iv.test(segment)) {
			return false;
		}
	}

	return true;
}

/** Returns the fault of a request, or `undefined` if it may be forwarded. */
export function findRequestFault(head: RequestHead): RequestFault | undefined {
	if (!supportedMethods.has(head.method)) {
		return 'method_not_supported';
	}

	if (headerValues(head.rawHeaders, 'host').length !== 1) {
		return 'malformed_host';
	}

	if (!hasUnambiguousFraming(head)) {
		return 'malformed_framing';
	}

	if (!isNormalizedPath(head.path)) {
		return 'malformed_path';
	}

	if (headerValues(head.rawHeaders, 'trailer').length > 0) {
		return 'trailers_not_supported';
	}

	return connectionOptions(head.rawHeaders).has('upgrade') ? 'upgrade_not_supported' : undefined;
}
