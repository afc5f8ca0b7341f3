/**
 * Calls with an `Idempotency-Key`. A repeated request, through any process, gets
 * the stored response, waits for the call in progress, or is told that the
 * outcome is unknown.
 */
import {Buffer} from 'node:buffer';
import {type Endpoint, type PlainService} from '../configuration/document.js';
import {type ResponseSink, createRecordingSink, type RecordedResponse} from './response-sink.js';
import {sendProblem} from './call-problems.js';
import {
	type Claim, type ClaimedOrder, type FoundOrder, type OrderStore, type OrderOutcome,
} from './order-store.js';
import {
	type AnsweredOrder, keyedOrderKey, maxPathCharacters, type PendingOrder, requestDigest,
} from './order-rows.js';
import {OrderStoreError} from './orders-errors.js';
import {type CallResult, type ReadyCall} from './run-call.js';
import {type KnownRun} from './status-look-up.js';

/** Limits on keyed calls, in milliseconds and bytes. */
export type KeyedLimits = {
	/** From the start of the claim to the first byte sent; after that the call is withdrawn. */
	dispatchWithinMs: number;
	/** From the claim to the end of the response; after that, repeats get "unknown". */
	longestCallMs: number;
	/** Largest difference between the wall clocks of two VMs. */
	clockMarginMs: number;
	/** Longest response body that is stored. */
	mostKeptBytes: number;
};

/** Options of {@link createKeyedCalls}. */
export type KeyedCallsOptions = {
	orderStore: OrderStore;
	run: (call: ReadyCall, sink: ResponseSink) => Promise<CallResult>;
	lookUp: (service: PlainService, endpoint: Endpoint, requestId: string) => Promise<KnownRun | undefined>;
	limits: KeyedLimits;
	/** Creates a random token for each intent record. */
	newToken: () => string;
	/** Whether this process is stopping; repeats then stop waiting here and are sent again elsewhere. */
	isStopping: () => boolean;
	/** Called when an outcome could not be recorded; repeats then get "unknown". */
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
const maxPollMs = 1000;

function answeredOutcome(kept: RecordedResponse | undefined, status: number): OrderOutcome {
	return {
		state: 'answered',
		status,
		headers: kept?.head.headers ?? [],
		body: kept?.body?.whole().toString('base64') ?? null,
		trailers: kept?.trailers ?? [],
		by: 'dispatcher',
	};
}

/** Answers a repeat with the stored response of the first call. */
function replay(sink: ResponseSink, order: AnsweredOrder, requestId: string): void {
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

/** Creates the handler of keyed calls of one process. */
export function createKeyedCalls(options: KeyedCallsOptions) {
	const {orderStore, limits} = options;
	/** Calls in progress in this process, by order key; repeats wake as soon as they end. */
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
			path: keyed.call.path.slice(0, maxPathCharacters),
			createdMs,
			giveUpMs: createdMs + Math.max(limits.longestCallMs, keyed.call.deadline - performance.now()),
		};
	};

	const record = async (order: ClaimedOrder, end: OrderOutcome) => {
		if (!await orderStore.finish(order, end)) {
			options.onUnrecorded(order.row.service);
		}
	};

	const settleUnknown = async (keyed: KeyedCall, order: ClaimedOrder, result: CallResult & {kind: 'unknown'}, sink: ResponseSink): Promise<KeyedResult> => {
		const {requestId} = keyed.call;
		const known = await options.lookUp(keyed.service, result.endpoint, requestId);
		const end: OrderOutcome = known === undefined
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

	const dispatch = async (keyed: KeyedCall, order: ClaimedOrder, claimedAt: {monotonic: number; wall: number}, sink: ResponseSink): Promise<KeyedResult> => {
		const recordingSink = createRecordingSink(sink, limits.mostKeptBytes);
		// A process that was paused after its claim may resume after an operator has
		// settled the order as never run. Both clocks are checked: the monotonic
		// clock may stop while a VM is suspended, and the wall clock may be set back.
		const maySend = () => keyed.call.maySend()
			&& performance.now() - claimedAt.monotonic < limits.dispatchWithinMs
			&& Date.now() - claimedAt.wall < limits.dispatchWithinMs;
		const result = await options.run({...keyed.call, maySend}, recordingSink);
		if (result.kind === 'answered') {
			void record(order, answeredOutcome(recordingSink.recorded(), result.status));
			return 'answered';
		}

		if (result.kind === 'not_run') {
			void record(order, {state: 'released', by: 'dispatcher'});
			sendProblem(sink, 'not_run', {requestId: keyed.call.requestId});
			return 'not_run';
		}

		return settleUnknown(keyed, order, result, sink);
	};

	/** Waits while the order is in progress, at most until the caller's deadline. */
	const waitForOutcome = async (first: FoundOrder, keyed: KeyedCall, sink: ResponseSink): Promise<FoundOrder> => {
		const key = keyOf(keyed);
		let found = first;
		let pollMs = firstPollMs;
		while (found.row.state === 'pending' && !sink.isDisconnected() && !options.isStopping()) {
			const leftMs = keyed.call.deadline - performance.now();
			if (leftMs <= pollMs || Date.now() > found.row.giveUpMs + limits.clockMarginMs) {
				break;
			}

			await waitAtMost(inProgress.get(key), pollMs);
			pollMs = Math.min(2 * pollMs, maxPollMs);
			try {
				found = await orderStore.find(key) ?? found;
			} catch (error) {
				if (!(error instanceof OrderStoreError)) {
					throw error;
				}
			}
		}

		return found;
	};

	const answerRepeat = async (keyed: KeyedCall, existing: FoundOrder, digest: string, sink: ResponseSink): Promise<KeyedResult | 'again'> => {
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

	/** Resolves to `undefined` when the store fails; nothing may be dispatched then. */
	const claimOrRefuse = async (key: string, row: PendingOrder): Promise<Claim | undefined> => {
		try {
			return await orderStore.claim(key, row);
		} catch (error) {
			if (error instanceof OrderStoreError) {
				return undefined;
			}

			throw error;
		}
	};

	const dispatchOnce = async (keyed: KeyedCall, order: ClaimedOrder, startedAt: number, sink: ResponseSink): Promise<KeyedResult> => {
		const work = dispatch(keyed, order, {monotonic: startedAt, wall: order.row.createdMs}, sink);
		inProgress.set(order.key, work);
		try {
			return await work;
		} finally {
			inProgress.delete(order.key);
		}
	};

	return {
		/** Answers one keyed call. Store errors are answered, not thrown. */
		async handle(keyed: KeyedCall, sink: ResponseSink): Promise<KeyedResult> {
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

				const repeatResult = await answerRepeat(keyed, claim.found, row.digest, sink);
				if (repeatResult !== 'again') {
					return repeatResult;
				}
			}
		},
	};
}

async function waitAtMost(work: Promise<unknown> | undefined, ms: number): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setTimeout(resolve, ms);
		const wake = () => {
			clearTimeout(timer);
			resolve();
		};

		void work?.then(wake, wake);
	});
}
