/** Response sink for Node's HTTP server. */
import {type ServerResponse} from 'node:http';
import {createResponseWrites} from '../buffers/response-writes.js';
import {type ResponseSink} from './response-sink.js';
import {isBodiless, requestIdHeader} from './response-checks.js';
import {outcomeHeader} from './call-problems.js';
import {connectionHeaders, connectionOptions, headerPairs} from './credential-headers.js';
import {type ResponseHead} from './endpoint-transport.js';

/** Headers of an endpoint's response that are hop-by-hop or that the router sets itself. */
const withheldHeaders: ReadonlySet<string> = new Set([...connectionHeaders, requestIdHeader]);

/** Returns the headers of an endpoint's response that a caller may see. */
export function callerHeaders(headers: readonly string[]): string[] {
	const listed = connectionOptions(headers);
	const kept: string[] = [];
	for (const {name, sentName, value} of headerPairs(headers)) {
		if (!withheldHeaders.has(name) && !listed.has(name)) {
			kept.push(sentName, value);
		}
	}

	return kept;
}

/** Creates the response head for the caller; an outcome header set by the endpoint is dropped. */
export function createCallerHead(head: ResponseHead): ResponseHead {
	const headers: string[] = [];
	for (const {name, sentName, value} of headerPairs(callerHeaders(head.headers))) {
		// Some clients wait for a body of the stated length even if the status allows none.
		const isInapplicableLength = name === 'content-length' && isBodiless(head.status);
		if (name !== outcomeHeader && !isInapplicableLength) {
			headers.push(sentName, value);
		}
	}

	headers.push(outcomeHeader, 'answered');
	return {status: head.status, headers};
}

function pairsOf(flat: readonly string[]): Array<[string, string]> {
	const pairs: Array<[string, string]> = [];
	for (const {sentName, value} of headerPairs(flat)) {
		pairs.push([sentName, value]);
	}

	return pairs;
}

/** Creates the sink of a response to which nothing has been written yet. */
export function createHttpSink(res: ServerResponse): ResponseSink {
	let gone = res.destroyed;
	let chunked = false;
	const goneListeners = new Set<() => void>();
	const drainListeners: Array<() => void> = [];
	const writes = createResponseWrites(res);
	const drained = (): void => {
		for (const listener of drainListeners) {
			listener();
		}
	};

	res.on('close', () => {
		if (res.writableFinished) {
			return;
		}

		gone = true;
		for (const listener of goneListeners) {
			listener();
		}
	});
	res.on('error', () => {
		// `close` reports that the caller disconnected.
	});

	return {
		start(head) {
			if (gone) {
				return;
			}

			chunked = !head.headers.some((item, index) => index % 2 === 0 && item.toLowerCase() === 'content-length');
			res.writeHead(head.status, [...head.headers]);
		},
		write(chunk) {
			if (gone || writes.write(chunk)) {
				return true;
			}

			writes.onDrain(drained);
			return false;
		},
		end(trailers) {
			if (gone) {
				return;
			}

			if (chunked && trailers.length > 0) {
				res.addTrailers(pairsOf(trailers));
			}

			res.end();
		},
		abort() {
			const {socket} = res;
			// A plain close could be taken for the end of a response without a length.
			// A reset cannot, in any version of HTTP.
			if (socket === null || 'encrypted' in socket) {
				res.destroy();
			} else {
				socket.resetAndDestroy();
			}
		},
		isDisconnected: () => gone,
		onDrain(listener) {
			drainListeners.push(listener);
		},
		onDisconnect(listener) {
			goneListeners.add(listener);
		},
	};
}

/** Wraps a sink so that every response carries the request id. */
export function createIdentifiedSink(sink: ResponseSink, requestId: string): ResponseSink {
	return {
		...sink,
		start(head) {
			sink.start({...head, headers: [...head.headers, requestIdHeader, requestId]});
		},
	};
}

/** Wraps a sink so that endpoints' responses get the headers that callers may see. */
export function createEndpointSink(sink: ResponseSink): ResponseSink {
	return {
		...sink,
		start(head) {
			sink.start(createCallerHead(head));
		},
	};
}
