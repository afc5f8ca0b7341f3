/**
 * Sends one request to one endpoint, checks that the response belongs to it and
 * is complete, passes it on with backpressure, and classifies failures.
 */
import {isSelfDelimiting, identifyResponse} from './response-checks.js';
import {type ResponseSink} from './response-sink.js';
import {
	type ResponseHead, type EndpointTransport, type Exchange, type OutgoingRequest,
} from './endpoint-transport.js';
import {type CallKind, type FailureClass} from './failure-classes.js';
import {EndpointExchangeError} from './orders-errors.js';

/** Timeouts of an exchange, in milliseconds. */
export type ExchangeLimits = {
	/** For the request to be handed to a connection. */
	connectMs: number;
	/** From the last sent part of the request to the head of the response. */
	firstByteMs: number;
	/** Between two parts of the response. */
	betweenBytesMs: number;
	/** For a caller that does not read. */
	callerStallMs: number;
};

/** Options of {@link runExchange}. */
export type ExchangeOptions = {
	transport: EndpointTransport;
	request: OutgoingRequest;
	requestId: string;
	kind: CallKind;
	sink: ResponseSink;
	limits: ExchangeLimits;
	/** `performance.now()` by which the response must have begun. */
	deadline: number;
	/** Called right before the first byte is sent; `false` withdraws the request. */
	maySend: () => boolean;
	/** Called when a response is dropped: it belongs to another request, or is too late. */
	onDropped?: (why: 'crossed' | 'late') => void;
};

/** Result of an exchange. */
export type ExchangeResult
	= | {answered: true; status: number}
	/** `begun`: a part of the response was passed on, and the caller's connection was cut. */
		| {answered: false; failure: FailureClass; begun: boolean; cause?: unknown};

/** Sends a request and resolves once the exchange has ended. Never rejects. */
export async function runExchange(options: ExchangeOptions): Promise<ExchangeResult> {
	return new Promise(resolve => {
		const handler = createExchangeHandler(options, resolve);
		options.sink.onDrain(handler.callerDrained);
		options.sink.onDisconnect(handler.callerGone);
		handler.send();
	});
}

/** Creates the state and the event handlers of one exchange. */
function createExchangeHandler(options: ExchangeOptions, resolve: (result: ExchangeResult) => void) {
	const {sink, limits, request} = options;
	const timer = createSilenceTimer();
	let exchange: Exchange | undefined;
	let status: number | undefined;
	let settled = false;
	let shared = false;
	let callerReads = true;

	const settle = (result: ExchangeResult) => {
		settled = true;
		timer.stop();
		resolve(result);
	};

	const fail = (failure: FailureClass, cause?: unknown) => {
		if (settled) {
			return;
		}

		const begun = status !== undefined;
		settle({
			answered: false, failure: begun && failure === 'reset' ? 'truncated' : failure, begun, cause,
		});
		if (begun) {
			sink.abort();
		}
	};

	const abortWith = (failure: FailureClass, text: string) => {
		if (settled) {
			return;
		}

		const reason = new EndpointExchangeError(`${text} Endpoint ${request.endpoint.name}, request ${options.requestId}.`);
		fail(failure, reason);
		exchange?.abort(reason, failure !== 'cancelled');
	};

	const startHeadTimer = () => {
		const leftMs = options.deadline - performance.now();
		timer.start(Math.min(limits.firstByteMs, leftMs), () => {
			abortWith(leftMs <= limits.firstByteMs ? 'late' : 'silent', 'The endpoint did not respond in time.');
		});
	};

	const startBodyTimer = () => {
		timer.start(limits.betweenBytesMs, () => {
			abortWith('silent', 'The endpoint stopped sending within its response.');
		});
	};

	const resumeReading = () => {
		if (settled || callerReads) {
			return;
		}

		callerReads = true;
		startBodyTimer();
		exchange?.resume();
	};

	const handleHead = (head: ResponseHead) => {
		const identity = identifyResponse(head, options.requestId);
		// On a shared connection, a response without an id may be the late response
		// to an abandoned request, which belongs to another caller.
		if (identity === 'foreign' || (identity === 'none' && shared)) {
			options.onDropped?.('crossed');
			abortWith('crossed', 'The response belongs to another request.');
			return;
		}

		if (!isSelfDelimiting(head, request.method)) {
			abortWith('unframed', 'The response has neither a length nor chunks.');
			return;
		}

		if (identity === 'own') {
			options.transport.allowConnectionReuse(request.endpoint);
		}

		status = head.status;
		startBodyTimer();
		sink.start(head);
	};

	const handleData = (chunk: Uint8Array) => {
		startBodyTimer();
		if (sink.isDisconnected() || sink.write(chunk)) {
			return;
		}

		callerReads = false;
		exchange?.pause();
		timer.start(limits.callerStallMs, () => {
			abortWith('cancelled', 'The caller does not read the response.');
		});
	};

	const events = {
		beforeSend(isShared: boolean) {
			if (settled || !options.maySend()) {
				return false;
			}

			shared = isShared;
			startHeadTimer();
			return true;
		},
		progress() {
			if (!settled && status === undefined) {
				startHeadTimer();
			}
		},
		head(head: ResponseHead) {
			if (settled) {
				options.onDropped?.('late');
				return;
			}

			handleHead(head);
		},
		data(chunk: Uint8Array) {
			if (!settled) {
				handleData(chunk);
			}
		},
		end(trailers: readonly string[]) {
			if (!settled && status !== undefined) {
				settle({answered: true, status});
				sink.end(trailers);
			}
		},
		failed: fail,
	};

	return {
		send() {
			timer.start(limits.connectMs, () => {
				abortWith('connect_failed', 'No connection was established in time.');
			});
			exchange = options.transport.send(request, events);
		},
		callerDrained: resumeReading,
		callerGone() {
			if (options.kind === 'idempotent') {
				abortWith('cancelled', 'The caller disconnected.');
				return;
			}

			// An order that was sent runs anyway. Its response is read to the end, so
			// that its outcome is known.
			resumeReading();
		},
	};
}

function createSilenceTimer() {
	let timer: NodeJS.Timeout | undefined;
	let reading: NodeJS.Immediate | undefined;
	const stop = (): void => {
		clearTimeout(timer);
		clearImmediate(reading);
	};

	return {
		start(delayMs: number, onSilence: () => void) {
			stop();
			timer = setTimeout(() => {
				// After a long turn the runtime runs timers before it reads what has arrived meanwhile.
				reading = setImmediate(onSilence);
			}, Math.max(0, delayMs));
		},
		stop,
	};
}
