/**
 * Sends one request to one endpoint and passes its response to the caller. The caller only
 * gets a response that belongs to this request, is confirmed by the endpoint, and is either
 * complete or visibly truncated.
 */
import {Buffer} from 'node:buffer';
import {type ByteCollector, createByteCollector} from '../buffers/byte-collector.js';
import {type ResponseFacts, type CallHeaders} from '../fleet/call-headers.js';
import {raiseFault} from '../observability/raise-fault.js';
import {type Exchange, type ExchangeEvents, type ResponseHead} from '../orders/endpoint-transport.js';
import {EndpointExchangeError} from '../orders/orders-errors.js';
import {failureClasses, type FailureClass} from '../orders/failure-classes.js';
import {type RequestBuffer} from './buffer-account.js';
import {type CallerReply} from './caller-reply.js';
import {createEventSplitter} from './event-splitter.js';
import {createSilenceTimer} from './silence-timer.js';

/** An endpoint's response, read to its end. */
export type BufferedResponse = {
	status: number;
	headers: readonly string[];
	/** The body in a few parts; joining them would hold it twice. */
	parts: readonly Uint8Array[];
	/** It had neither a length nor chunks, so its end was the end of the connection. */
	isUnframed: boolean;
};

/** How an attempt ended. */
export type AttemptEnd
	/** The complete response was handed to the caller's connection. */
	= | {kind: 'answered'; status: number}
	/** The endpoint proved that it did not run the request. */
		| {kind: 'notRun'; status: number}
	/** A complete response with an error status, not yet sent to the caller. */
		| {kind: 'errorAnswer'; response: BufferedResponse}
	/** The exchange failed; `failureClasses` says what that proves. */
		| {kind: 'failed'; failure: FailureClass}
		| {kind: 'callerLeft'};

/** Progress of an attempt, updated while it runs. */
export type AttemptProgress = {
	/** `performance.now()` at which the first body chunk of a stream, or else the response head, arrived. */
	firstAt: number | undefined;
	/** Id of the last event sent to the caller. */
	lastEventId: string | undefined;
	facts: ResponseFacts | undefined;
};

/** Options of {@link runAttempt}. */
export type AttemptOptions = {
	/** Sends the request, over the own path or through a peer. */
	send: (events: ExchangeEvents) => Exchange;
	headers: CallHeaders;
	requestId: string | undefined;
	reply: CallerReply;
	/** The response is a stream of events, which are forwarded as they arrive. */
	isStream: boolean;
	progress: AttemptProgress;
	/** Longest delay in milliseconds by which the events after the first may be forwarded together; 0 forwards each at once. */
	eventBatchMs: number;
	/** Time to the response head after which the endpoint counts as silent, in milliseconds. */
	headTimeoutMs: number;
	/** The same from the head or an event of a stream to its next event, and between the bytes of another response; in milliseconds. */
	eventTimeoutMs: number;
	/** Evaluated after such a timeout: whether to abort the attempt; if not, the timeout starts again. */
	mayMoveAway: () => boolean;
	/** Evaluated when the path to the endpoint is lost: whether to abort the attempt. */
	mayLeavePath: () => boolean;
	/** `performance.now()` at which the request times out. */
	deadlineAt: number;
	/** Asked right before the request is handed to a connection. */
	maySend: () => boolean;
	/** Called when the request is handed to a connection. */
	onWritten: () => void;
	/** Called with the facts of a response head that belongs to this request. */
	onHead: (facts: ResponseFacts) => void;
	/** Accounts for the bytes of the response that are buffered. */
	buffer: Pick<RequestBuffer, 'add'>;
	/** Called when the response begins. */
	onResponseStart: () => void;
	/** Called before events of a stream are passed to the caller. */
	onEvents: () => void;
	/** Called when bytes of the response arrive. */
	onBytes: (() => void) | undefined;
	/** Receives a function that is to be called when the path to the endpoint is lost. */
	onPathWatched: (leavePath: () => void) => void;
	/** Receives a function that ends the attempt with this failure. */
	onAbortable: (abort: (failure: FailureClass) => void) => void;
};

const statusOk = 200;
const statusMultipleChoices = 300;
const statusServerError = 500;

/** Largest response that is buffered, in bytes; larger ones would take too much of the process's memory. */
const maxBufferedBytes = 8 * 1024 * 1024;

/** Longest event of a stream, in bytes. */
const maxEventBytes = 1024 * 1024;

/** Bounds on the body of a response whose head proves that the request was not run: only its connection's reuse depends on the rest. */
const maxNotRunBytes = 64 * 1024;
const notRunTimeoutMs = 200;

const isSuccess = (status: number): boolean => status >= statusOk && status < statusMultipleChoices;

/**
 * Whether a response with this id may belong to the request. Without an id, it may be what an endpoint sent after its
 * previous response on the connection.
 */
export const mayAnswer = (requestId: string, answeredId: string | undefined, isOnUsedConnection = false): boolean =>
	answeredId === undefined ? !isOnUsedConnection : answeredId === requestId;

/** Runs one attempt; never rejects. */
export async function runAttempt(options: AttemptOptions): Promise<AttemptEnd> {
	return new Promise(resolve => {
		startAttempt(options, resolve);
	});
}

function startAttempt(options: AttemptOptions, settle: (end: AttemptEnd) => void): void {
	const {reply, progress, headers} = options;
	const splitter = createEventSplitter();
	let isSettled = false;
	let head: ResponseHead | undefined;
	/** Body of a response that isn't a stream. */
	let body: ByteCollector | undefined;
	/** Bytes of memory of the body, or of an incomplete event. */
	let heldBytes = 0;
	const silence = createSilenceTimer({
		deadlineAt: options.deadlineAt,
		onDeadline() {
			failAttempt('late', false);
		},
		onSilent(limitMs) {
			if (provesNotRun() || options.mayMoveAway()) {
				failAttempt('silent', true);
			} else {
				silence.restart(limitMs);
			}
		},
	});
	let hasEvents = false;
	/** Bytes of a stream that were read after the caller had stopped reading. */
	let unforwardedBytes = 0;
	/** Chunks of a stream that arrived in the current read of the socket. */
	let readChunks: Uint8Array[] = [];

	const finish = (end: AttemptEnd): void => {
		if (!isSettled) {
			isSettled = true;
			silence.stop();
			if (end.kind !== 'answered' && end.kind !== 'errorAnswer') {
				options.buffer.add(-heldBytes);
				body = undefined;
			}

			settle(end);
		}
	};

	const isPassedThrough = (): boolean => options.isStream && head !== undefined && isSuccess(head.status);

	/** Whether the response's head has proved that the request was not run, whatever follows it. */
	const provesNotRun = (): boolean => head !== undefined && progress.facts?.provesNotRun === true && !isPassedThrough();

	const endOf = (failure: FailureClass): AttemptEnd => provesNotRun() ? {kind: 'notRun', status: head!.status} : {kind: 'failed', failure};

	const failAttempt = (failure: FailureClass, isSuspect: boolean): void => {
		if (!isSettled) {
			// First, since the abort reports a reset.
			finish(endOf(failure));
			exchange.abort(new EndpointExchangeError(`Attempt aborted: ${failure}.`), isSuspect);
		}
	};

	/** Fails the attempt if the callback throws: a response with a dropped part must not end as complete. */
	const guard = <Parameters extends unknown[]>(callback: (...parameters: Parameters) => void) => (...parameters: Parameters): void => {
		try {
			callback(...parameters);
		} catch (error) {
			raiseFault(error);
			failAttempt('truncated', false);
		}
	};

	/** Whether the response belongs to this request and, if it is a success, is signed by the endpoint and unaltered. */
	const isTrusted = (facts: ResponseFacts, {status, isOnUsedConnection}: ResponseHead): boolean => {
		if (options.requestId !== undefined && !mayAnswer(options.requestId, facts.requestId, isOnUsedConnection)) {
			return false;
		}

		return !isSuccess(status) || (facts.isSigned && !facts.isEncoded && facts.requestId === options.requestId);
	};

	const startReply = (): void => {
		if (!reply.isStarted()) {
			// In chunks, whatever the endpoint's framing: a stream without them would look complete if this process were killed.
			reply.head(head!.status, headers.forCaller(head!.headers));
		}
	};

	/** Accounts for the bytes of an incomplete event, and fails the attempt if there are too many. */
	const checkRemainder = (): void => {
		const memoryBytes = splitter.memoryBytes();
		if (memoryBytes !== heldBytes) {
			options.buffer.add(memoryBytes - heldBytes);
			heldBytes = memoryBytes;
		}

		if (splitter.remainderLength() > maxEventBytes) {
			failAttempt('truncated', true);
		}
	};

	const forwardChunk = (chunk: Uint8Array): void => {
		const events = splitter.push(chunk);
		checkRemainder();
		if (events === undefined) {
			return;
		}

		silence.restart(options.eventTimeoutMs);
		hasEvents = true;
		options.onEvents();
		startReply();
		const acceptsMore = reply.write(events.bytes);
		// Only now, since another endpoint would continue after this event.
		progress.lastEventId = events.lastId ?? progress.lastEventId;
		if (!acceptsMore) {
			const unsentBytes = reply.unsentBytes();
			options.buffer.add(unsentBytes);
			exchange.pause();
			silence.stop();
			reply.onDrain(guard(() => {
				options.buffer.add(-unsentBytes - unforwardedBytes);
				unforwardedBytes = 0;
				exchange.resume();
				if (!isSettled) {
					silence.restart(options.eventTimeoutMs);
				}
			}));
		}
	};

	const forwardRead = guard(() => {
		if (readChunks.length > 0 && !isSettled) {
			const [first] = readChunks;
			const whole = readChunks.length === 1 ? first : Buffer.concat(readChunks);
			readChunks = [];
			forwardChunk(whole);
		}
	});

	/**
	 * Passes on a chunk together with the others of the same read of the socket: an endpoint sends
	 * each event as a chunk, and each write to the caller costs as much as its content.
	 */
	const receiveChunk = (chunk: Uint8Array): void => {
		readChunks.push(chunk);
		if (readChunks.length > 1) {
			return;
		}

		options.onBytes?.();
		if (progress.firstAt !== undefined) {
			// The parser passes all chunks of a read in one call, which ends before this runs.
			queueMicrotask(forwardRead);
			return;
		}

		progress.firstAt = performance.now();
		options.onResponseStart();
		if (options.eventBatchMs > 0) {
			exchange.batchReads(options.eventBatchMs);
		}

		forwardRead();
	};

	/** Without a length or chunks, only the events show that a stream was broken off. */
	const endsInsideEvent = (): boolean => progress.facts!.isUnframed && (!hasEvents || splitter.remainderLength() > 0);

	const endStream = (): void => {
		if (endsInsideEvent()) {
			finish({kind: 'failed', failure: 'truncated'});
			return;
		}

		startReply();
		const remainder = splitter.remainder();
		reply.end(remainder.length > 0 ? remainder : undefined);
		finish({kind: 'answered', status: head!.status});
	};

	const endBuffered = (): void => {
		const {status} = head!;
		const response: BufferedResponse = {
			status, headers: head!.headers, parts: body?.parts() ?? [], isUnframed: progress.facts!.isUnframed,
		};
		if (provesNotRun()) {
			finish({kind: 'notRun', status});
		} else if (status >= statusServerError || reply.isStarted()) {
			finish({kind: 'errorAnswer', response});
		} else {
			sendBuffered(reply, headers, response);
			finish({kind: 'answered', status});
		}
	};

	const exchange = options.send({
		beforeSend() {
			// In a long turn, connections come about before the timer of the deadline runs.
			if (reply.isDisconnected() || isSettled || performance.now() >= options.deadlineAt || !options.maySend()) {
				return false;
			}

			options.onWritten();
			return true;
		},
		progress() {
			// Request bodies are buffered, so there is nothing to track.
		},
		head: guard((received: ResponseHead) => {
			if (isSettled) {
				return;
			}

			const facts = headers.readResponse(received.headers, received.status);
			if (!isTrusted(facts, received)) {
				failAttempt('crossed', true);
				return;
			}

			head = received;
			options.onBytes?.();
			progress.facts = facts;
			options.onHead(facts);
			progress.firstAt ??= isPassedThrough() ? undefined : performance.now();
			if (!isPassedThrough()) {
				options.onResponseStart();
			}

			silence.restart(provesNotRun() ? Math.min(options.eventTimeoutMs, notRunTimeoutMs) : options.eventTimeoutMs);
		}),
		data: guard((chunk: Uint8Array) => {
			if (isSettled) {
				return;
			}

			if (isPassedThrough()) {
				receiveChunk(chunk);
				return;
			}

			options.onBytes?.();
			body ??= createByteCollector();
			const takenBytes = body.add(chunk);
			if (takenBytes !== 0) {
				heldBytes += takenBytes;
				options.buffer.add(takenBytes);
			}

			if (body.length() > (provesNotRun() ? maxNotRunBytes : maxBufferedBytes)) {
				failAttempt('truncated', false);
			} else if (!provesNotRun()) {
				silence.restart(options.eventTimeoutMs);
			}
		}),
		held: guard((bytes: number) => {
			if (!isSettled) {
				unforwardedBytes += bytes;
				options.buffer.add(bytes);
			}
		}),
		end: guard(() => {
			if (isSettled || head === undefined) {
				return;
			}

			if (!isPassedThrough()) {
				endBuffered();
				return;
			}

			forwardRead();
			if (!isSettled) {
				endStream();
			}
		}),
		failed(failure) {
			forwardRead();
			finish(endOf(head === undefined || failureClasses[failure].reach === 'nothing' ? failure : 'truncated'));
		},
	});
	silence.restart(options.headTimeoutMs);
	options.onAbortable(failure => {
		failAttempt(failure, false);
	});
	options.onPathWatched(() => {
		if (!isSettled && options.mayLeavePath()) {
			failAttempt('path_lost', true);
		}
	});
	reply.onDisconnect(() => {
		if (!isSettled) {
			finish({kind: 'callerLeft'});
			exchange.abort(new EndpointExchangeError('The caller disconnected.'), false);
		}
	});
}

/** Sends an endpoint's buffered response to the caller unchanged. */
export function sendBuffered(reply: CallerReply, headers: CallHeaders, {
	status, headers: raw, parts, isUnframed,
}: BufferedResponse): void {
	const bytes = parts.reduce((sum, part) => sum + part.length, 0);
	reply.head(status, [...headers.forCaller(raw), ...(isUnframed ? [] : ['Content-Length', String(bytes)])], isUnframed);
	for (const part of parts.slice(0, -1)) {
		reply.write(part);
	}

	reply.end(parts.at(-1));
}
