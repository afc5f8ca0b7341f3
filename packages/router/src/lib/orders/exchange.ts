/**
 * One request to one endpoint: sends it, checks that the answer is its own and
 * whole, passes it on with backpressure, and classes what went wrong.
 */
import {hasProvableEnd, identifyAnswer} from './answer-checks.js';
import {type AnswerSink} from './answer-sink.js';
import {
	type AnswerHead, type EndpointTransport, type Exchange, type OutgoingRequest,
} from './endpoint-transport.js';
import {type CallKind, type FailureClass} from './failure-classes.js';
import {EndpointExchangeError} from './orders-errors.js';

/** Limits on silence, in milliseconds. */
export type ExchangeLimits = {
	/** For the request to be handed to a connection. */
	connectMs: number;
	/** From the last sent byte to the answer's head. */
	firstByteMs: number;
	/** Between two parts of an answer. */
	betweenBytesMs: number;
	/** For a caller that reads nothing. */
	callerStallMs: number;
};

/** Options of {@link runExchange}. */
export type ExchangeOptions = {
	transport: EndpointTransport;
	request: OutgoingRequest;
	requestId: string;
	kind: CallKind;
	sink: AnswerSink;
	limits: ExchangeLimits;
	/** `performance.now()` at which the answer must have begun. */
	deadline: number;
	/** Asked last before the first byte leaves. */
	mayLeave: () => boolean;
	/** Told of answers that came for another request, or after their time. */
	onDropped?: (why: 'crossed' | 'late') => void;
};

/** How an exchange ended. */
export type ExchangeResult
	= | {answered: true; status: number}
	/** `begun`: the caller has seen a part of the answer, and its connection was cut. */
		| {answered: false; failure: FailureClass; begun: boolean; cause?: unknown};

/** Sends a request and follows it to its end. Never rejects. */
export async function runExchange(options: ExchangeOptions): Promise<ExchangeResult> {
	return new Promise(resolve => {
		const follower = createFollower(options, resolve);
		options.sink.onDrain(follower.callerDrained);
		options.sink.onGone(follower.callerGone);
		follower.send();
	});
}

/** State and reactions of one exchange under way. */
function createFollower(options: ExchangeOptions, resolve: (result: ExchangeResult) => void) {
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
			sink.cut();
		}
	};

	const abandon = (failure: FailureClass, text: string) => {
		if (settled) {
			return;
		}

		const reason = new EndpointExchangeError(`${text} Endpoint ${request.endpoint.name}, request ${options.requestId}.`);
		fail(failure, reason);
		exchange?.abort(reason, failure !== 'cancelled');
	};

	const watchHead = () => {
		const leftMs = options.deadline - performance.now();
		timer.start(Math.min(limits.firstByteMs, leftMs), () => {
			abandon(leftMs <= limits.firstByteMs ? 'late' : 'silent', 'The endpoint gave no answer in time.');
		});
	};

	const watchBody = () => {
		timer.start(limits.betweenBytesMs, () => {
			abandon('silent', 'The endpoint fell silent within its answer.');
		});
	};

	const resumeReading = () => {
		if (settled || callerReads) {
			return;
		}

		callerReads = true;
		watchBody();
		exchange?.resume();
	};

	const takeHead = (head: AnswerHead) => {
		const identity = identifyAnswer(head, options.requestId);
		// On a shared connection an answer without an id may be the late answer to
		// an abandoned request: the caller would get what belongs to another.
		if (identity === 'foreign' || (identity === 'none' && shared)) {
			options.onDropped?.('crossed');
			abandon('crossed', 'The answer belongs to another request.');
			return;
		}

		if (!hasProvableEnd(head, request.method)) {
			abandon('unframed', 'The answer has neither a length nor chunks.');
			return;
		}

		if (identity === 'own') {
			options.transport.trustIds(request.endpoint);
		}

		status = head.status;
		watchBody();
		sink.start(head);
	};

	const takeData = (chunk: Uint8Array) => {
		watchBody();
		if (sink.isGone() || sink.write(chunk)) {
			return;
		}

		callerReads = false;
		exchange?.pause();
		timer.start(limits.callerStallMs, () => {
			abandon('cancelled', 'The caller reads nothing.');
		});
	};

	const events = {
		leaving(isShared: boolean) {
			if (settled || !options.mayLeave()) {
				return false;
			}

			shared = isShared;
			watchHead();
			return true;
		},
		progress() {
			if (!settled && status === undefined) {
				watchHead();
			}
		},
		head(head: AnswerHead) {
			if (settled) {
				options.onDropped?.('late');
				return;
			}

			takeHead(head);
		},
		data(chunk: Uint8Array) {
			if (!settled) {
				takeData(chunk);
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
				abandon('connect_failed', 'No connection came about in time.');
			});
			exchange = options.transport.send(request, events);
		},
		callerDrained: resumeReading,
		callerGone() {
			if (options.kind === 'idempotent') {
				abandon('cancelled', 'The caller went away.');
				return;
			}

			// An order that has left runs anyway: its answer is read to the end, so
			// that its outcome is known.
			resumeReading();
		},
	};
}

function createSilenceTimer() {
	let timer: ReturnType<typeof setTimeout> | undefined;
	return {
		start(delayMs: number, onSilence: () => void) {
			clearTimeout(timer);
			timer = setTimeout(onSilence, Math.max(0, delayMs));
		},
		stop() {
			clearTimeout(timer);
		},
	};
}
