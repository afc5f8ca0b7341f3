/**
 * Calls with an `Idempotency-Key`: a repeat through any process gets the stored
 * answer, waits for the call in progress, or learns that its outcome is unknown.
 */
import {Buffer} from 'node:buffer';
import {type Endpoint, type PlainService} from '../configuration/document.js';
import {type AnswerSink, createKeepingSink, type KeptAnswer} from './answer-sink.js';
import {sendProblem} from './call-problems.js';
import {
	type Claim, type ClaimedOrder, type FoundOrder, type OrderBook, type OrderEnd,
} from './order-book.js';
import {
	type AnsweredOrder, keyedOrderKey, mostPathCharacters, type PendingOrder, requestDigest,
} from './order-rows.js';
import {OrderStoreError} from './orders-errors.js';
import {type CallResult, type ReadyCall} from './run-call.js';
import {type KnownRun} from './status-look-up.js';

/** Limits on keyed calls, in milliseconds and bytes. */
export type KeyedLimits = {
	/** From the start of the claim to the first byte; later the call is withdrawn. */
	dispatchWithinMs: number;
	/** From the claim to the end of the answer; repeats then say "unknown". */
	longestCallMs: number;
	/** How far the wall clocks of two VMs may differ. */
	clockMarginMs: number;
	/** Longest body of a stored answer. */
	mostKeptBytes: number;
};

/** What {@link createKeyedCalls} works with. */
export type KeyedCallsOptions = {
	book: OrderBook;
	run: (call: ReadyCall, sink: AnswerSink) => Promise<CallResult>;
	lookUp: (service: PlainService, endpoint: Endpoint, requestId: string) => Promise<KnownRun | undefined>;
	limits: KeyedLimits;
	/** A new random token for each intent. */
	newToken: () => string;
	/** Whether this process is stopping: repeats then wait elsewhere. */
	isStopping: () => boolean;
	/** An outcome could not be recorded; repeats will hear that it is unknown. */
	onUnrecorded: (service: string) => void;
};

/** One call with a key. */
export type KeyedCall = {
	idempotencyKey: string;
	workspace: string;
	service: PlainService;
	contentType: string;
	content: Uint8Array;
	call: ReadyCall;
};

/** How a keyed call ended, for metrics. */
export type KeyedResult = 'answered' | 'replayed' | 'not_run' | 'unknown' | 'in_progress' | 'refused' | 'store_unavailable';

const firstPollMs = 50;
const longestPollMs = 1000;

function endOf(kept: KeptAnswer | undefined, status: number): OrderEnd {
	return {
		state: 'answered',
		status,
		headers: kept?.head.headers ?? [],
		body: kept?.body === undefined ? null : Buffer.concat(kept.body).toString('base64'),
		trailers: kept?.trailers ?? [],
		by: 'dispatcher',
	};
}

/** Gives a repeat the answer that its first call got. */
function replay(sink: AnswerSink, order: AnsweredOrder, requestId: string): void {
	if (order.status === null || order.body === null) {
		sendProblem(sink, 'answer_not_kept', {requestId, endpointStatus: order.status});
		return;
	}

	const body = Buffer.from(order.body, 'base64');
	sink.start({
		status: order.status,
		headers: [...order.headers, 'idempotent-replayed', 'true', 'x-original-request-id', order.requestId],
	});
	if (body.byteLength > 0) {
		sink.write(body);
	}

	sink.end(order.trailers);
}

function keyOf(keyed: KeyedCall): string {
	return keyedOrderKey(keyed.workspace, keyed.service.name, keyed.idempotencyKey);
}

/** Creates the handling of keyed calls of one process. */
export function createKeyedCalls(options: KeyedCallsOptions) {
	const {book, limits} = options;
	/** Calls of this process under way, whose repeats need not ask the table. */
	const inProgress = new Map<string, Promise<unknown>>();

	const intentOf = (keyed: KeyedCall): PendingOrder => {
		const createdMs = Date.now();
		return {
			state: 'pending',
			token: options.newToken(),
			digest: requestDigest(keyed.call.method, keyed.call.path, keyed.contentType, keyed.content),
			requestId: keyed.call.requestId,
			workspace: keyed.workspace,
			service: keyed.service.name,
			method: keyed.call.method,
			path: keyed.call.path.slice(0, mostPathCharacters),
			createdMs,
			giveUpMs: createdMs + Math.max(limits.longestCallMs, keyed.call.deadline - performance.now()),
		};
	};

	const record = async (order: ClaimedOrder, end: OrderEnd) => {
		if (!await book.finish(order, end)) {
			options.onUnrecorded(order.row.service);
		}
	};

	const settleUnknown = async (keyed: KeyedCall, order: ClaimedOrder, result: CallResult & {kind: 'unknown'}, sink: AnswerSink): Promise<KeyedResult> => {
		const {requestId} = keyed.call;
		const known = await options.lookUp(keyed.service, result.endpoint, requestId);
		const end: OrderEnd = known === undefined
			? {state: 'unknown', endpoint: result.endpoint.name, reason: result.failure}
			: {
				state: 'answered', status: known.status, headers: [], body: null, trailers: [], by: 'status look-up',
			};
		void record(order, end);
		if (!result.begun) {
			sendProblem(sink, known === undefined ? 'outcome_unknown' : 'answer_not_kept', {requestId, endpointStatus: known?.status});
		}

		return 'unknown';
	};

	const dispatch = async (keyed: KeyedCall, order: ClaimedOrder, claimedAt: {monotonic: number; wall: number}, sink: AnswerSink): Promise<KeyedResult> => {
		const keeping = createKeepingSink(sink, limits.mostKeptBytes);
		// A process paused after its claim may wake when an operator has ruled that
		// the order never ran. Both clocks are asked, since the monotonic one may
		// stand still while a VM is suspended and the wall clock may be set back.
		const mayLeave = () => keyed.call.mayLeave()
			&& performance.now() - claimedAt.monotonic < limits.dispatchWithinMs
			&& Date.now() - claimedAt.wall < limits.dispatchWithinMs;
		const result = await options.run({...keyed.call, mayLeave}, keeping);
		if (result.kind === 'answered') {
			void record(order, endOf(keeping.kept(), result.status));
			return 'answered';
		}

		if (result.kind === 'not_run') {
			void record(order, {state: 'released', by: 'dispatcher'});
			sendProblem(sink, 'not_run', {requestId: keyed.call.requestId});
			return 'not_run';
		}

		return settleUnknown(keyed, order, result, sink);
	};

	/** Waits while the order is in progress, but no longer than the caller does. */
	const waitForOutcome = async (first: FoundOrder, keyed: KeyedCall, sink: AnswerSink): Promise<FoundOrder> => {
		const key = keyOf(keyed);
		let found = first;
		let pollMs = firstPollMs;
		while (found.row.state === 'pending' && !sink.isGone() && !options.isStopping()) {
			const leftMs = keyed.call.deadline - performance.now();
			if (leftMs <= pollMs || Date.now() > found.row.giveUpMs + limits.clockMarginMs) {
				break;
			}

			await pauseOr(inProgress.get(key), pollMs);
			pollMs = Math.min(2 * pollMs, longestPollMs);
			try {
				found = await book.find(key) ?? found;
			} catch (error) {
				if (!(error instanceof OrderStoreError)) {
					throw error;
				}
			}
		}

		return found;
	};

	const answerExisting = async (keyed: KeyedCall, existing: FoundOrder, digest: string, sink: AnswerSink): Promise<KeyedResult | 'again'> => {
		const {requestId} = keyed.call;
		if (existing.row.digest !== digest) {
			sendProblem(sink, 'key_reused', {requestId});
			return 'refused';
		}

		const {row} = await waitForOutcome(existing, keyed, sink);
		switch (row.state) {
			case 'answered': {
				replay(sink, row, requestId);
				return 'replayed';
			}

			case 'released': {
				return 'again';
			}

			case 'unknown': {
				sendProblem(sink, 'outcome_unknown', {requestId});
				return 'unknown';
			}

			case 'pending': {
				const isLost = Date.now() > row.giveUpMs + limits.clockMarginMs;
				sendProblem(sink, isLost ? 'outcome_unknown' : 'order_in_progress', {requestId});
				return isLost ? 'unknown' : 'in_progress';
			}
		}
	};

	/** `undefined` when the store cannot tell: then nothing is dispatched. */
	const claimOrRefuse = async (key: string, row: PendingOrder): Promise<Claim | undefined> => {
		try {
			return await book.claim(key, row);
		} catch (error) {
			if (error instanceof OrderStoreError) {
				return undefined;
			}

			throw error;
		}
	};

	const dispatchOnce = async (keyed: KeyedCall, order: ClaimedOrder, startedAt: number, sink: AnswerSink): Promise<KeyedResult> => {
		const work = dispatch(keyed, order, {monotonic: startedAt, wall: order.row.createdMs}, sink);
		inProgress.set(order.key, work);
		try {
			return await work;
		} finally {
			inProgress.delete(order.key);
		}
	};

	return {
		/** Answers one keyed call. Does not reject because of the store. */
		async handle(keyed: KeyedCall, sink: AnswerSink): Promise<KeyedResult> {
			for (;;) {
				const startedAt = performance.now();
				const row = intentOf(keyed);
				const claim = await claimOrRefuse(keyOf(keyed), row);
				if (claim === undefined) {
					sendProblem(sink, 'order_store_unavailable', {requestId: keyed.call.requestId});
					return 'store_unavailable';
				}

				if (claim.kind === 'mine') {
					return dispatchOnce(keyed, claim.order, startedAt, sink);
				}

				const answer = await answerExisting(keyed, claim.found, row.digest, sink);
				if (answer !== 'again') {
					return answer;
				}
			}
		},
	};
}

async function pauseOr(work: Promise<unknown> | undefined, ms: number): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setTimeout(resolve, ms);
		const wake = () => {
			clearTimeout(timer);
			resolve();
		};

		void work?.then(wake, wake);
	});
}
