/** The caller's side of a call over Node's HTTP server. */
import {type ServerResponse} from 'node:http';
import {type AnswerSink} from './answer-sink.js';
import {isBodiless, requestIdHeader} from './answer-checks.js';
import {outcomeHeader} from './call-problems.js';
import {connectionHeaders, connectionOptions, headerPairs} from './credential-headers.js';
import {type AnswerHead} from './endpoint-transport.js';

/** Headers of an endpoint's answer that concern its connection, or that this program sets. */
const withheldHeaders: ReadonlySet<string> = new Set([...connectionHeaders, requestIdHeader]);

/** Headers of an endpoint's answer that a caller may see. */
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

/** The answer of an endpoint as the caller gets it: its own outcome header counts for nothing. */
export function endpointAnswer(head: AnswerHead): AnswerHead {
	const headers: string[] = [];
	for (const {name, sentName, value} of headerPairs(callerHeaders(head.headers))) {
		// Some clients wait for a body of the stated length where none may follow.
		const isUnfounded = name === 'content-length' && isBodiless(head.status);
		if (name !== outcomeHeader && !isUnfounded) {
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

/** Creates the sink of one response that nothing was written to yet. */
export function createHttpSink(res: ServerResponse): AnswerSink {
	let gone = res.destroyed;
	let chunked = false;
	const goneListeners = new Set<() => void>();
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
		// A caller that went away is noticed by `close`.
	});

	return {
		start(head) {
			if (gone) {
				return;
			}

			chunked = !head.headers.some((item, index) => index % 2 === 0 && item.toLowerCase() === 'content-length');
			res.writeHead(head.status, [...head.headers]);
		},
		write: chunk => gone || res.write(chunk),
		end(trailers) {
			if (gone) {
				return;
			}

			if (chunked && trailers.length > 0) {
				res.addTrailers(pairsOf(trailers));
			}

			res.end();
		},
		cut() {
			const {socket} = res;
			// A plain close could be taken for the end of an answer without length. A
			// reset cannot, in any version of HTTP.
			if (socket === null || 'encrypted' in socket) {
				res.destroy();
			} else {
				socket.resetAndDestroy();
			}
		},
		isGone: () => gone,
		onDrain(listener) {
			res.on('drain', listener);
		},
		onGone(listener) {
			goneListeners.add(listener);
		},
	};
}

/** Tells the caller under which id its request went, on every kind of answer. */
export function createIdentifiedSink(sink: AnswerSink, requestId: string): AnswerSink {
	return {
		...sink,
		start(head) {
			sink.start({...head, headers: [...head.headers, requestIdHeader, requestId]});
		},
	};
}

/** Passes endpoints' answers on in the form that callers get. */
export function createEndpointSink(sink: AnswerSink): AnswerSink {
	return {
		...sink,
		start(head) {
			sink.start(endpointAnswer(head));
		},
	};
}
