/**
 * Headers by which a daemon passes a request on to a peer that has a path to its endpoint. The
 * request itself is the one that the endpoint gets; the peer removes these headers.
 */
import {connectionHeaders, headerPairs} from '../orders/credential-headers.js';

/** What the peer is asked for, see {@link RelayPurpose}. */
export const purposeHeader = 'hickorywalk-relay';
/** Id of the endpoint, and the start time of its process. */
export const endpointHeader = 'hickorywalk-endpoint';
export const startedAtHeader = 'hickorywalk-started-at';
/** Weights version that the endpoint was chosen for. */
export const weightsHeader = 'hickorywalk-weights';
/** Key of a stream whose origin is asked for; the service is the one at which it is presumed to have begun. */
export const streamHeader = 'hickorywalk-stream';
/** Service and software version of an origin, URI-encoded. */
export const serviceHeader = 'hickorywalk-service';
export const softwareHeader = 'hickorywalk-software';
/** Proves that the sender is a daemon of the fleet. */
export const keyHeader = 'hickorywalk-key';

/** In responses: what became of the request. */
export const outcomeHeader = 'hickorywalk-outcome';
/** In responses: the failure class of a request that may have run, or why it was declined. */
export const reasonHeader = 'hickorywalk-reason';
/**
 * In responses: the endpoint's response had neither a length nor chunks. Between daemons every response has one of
 * them, since the operating system closes the connections of a killed daemon like those of complete responses.
 */
export const unframedHeader = 'hickorywalk-unframed';

/** Reason with which a peer declines if the endpoint is out of its reach. */
export const noPathReason = 'no_path';
/** Reason with which a gatekeeper declines if the endpoint has no room. */
export const noRoomReason = 'no_room';
/** Reason with which a peer declines a request whose time was over when it could have sent it. */
export const tooLateReason = 'too_late';
/** Reason with which a peer declines a wrong key. */
export const wrongKeyReason = 'wrong_key';

/** All headers; none of them reaches an endpoint or a caller. */
export const relayHeaders: ReadonlySet<string> = new Set([
	purposeHeader, endpointHeader, startedAtHeader, weightsHeader, streamHeader, serviceHeader, softwareHeader, keyHeader, outcomeHeader, reasonHeader, unframedHeader,
]);

/** What the sender wants: that the request is sent, to know whether the endpoint accepts connections, or where a stream began. */
export type RelayPurpose = 'send' | 'check' | 'origin';

/**
 * What became of a request: the response is the endpoint's (`passed`), the endpoint got nothing
 * (`declined`), or it may have run (`failed`).
 */
export type RelayOutcome = 'passed' | 'declined' | 'failed';

/** Headers between daemons that belong neither to the endpoint's request nor to its response. */
const droppedHeaders: ReadonlySet<string> = new Set([...relayHeaders, ...connectionHeaders, 'content-length', 'expect']);

/** The headers of a request or response without those between daemons. */
export function withoutRelayHeaders(rawHeaders: readonly string[]): string[] {
	const headers: string[] = [];
	for (const {name, sentName, value} of headerPairs(rawHeaders)) {
		if (!droppedHeaders.has(name)) {
			headers.push(sentName, value);
		}
	}

	return headers;
}
