/**
 * One router of a replay: the policy under test, and the parts of a gateway that
 * attempt a placement, detect failed and silent endpoints, and retry.
 */
import {type Outcome, type Placement, type PlacementRequest} from 'hickorywalk/gateway.js';
import {createRetryBudget, type AttemptBudget, type PlacementEndpoint} from 'hickorywalk/routing.js';
import {type EventQueue} from './event-queue.js';
import {type FakeEngine} from './fake-engine.js';
import {type ReplayPolicy} from './policies.js';
import {type PreparedRequest} from './trace-pieces.js';

/** One-way network latency, in milliseconds. */
const networkMs = 0.5;
/** Time without a first token after which an attempt on a silent connection fails, in milliseconds. */
const silenceMs = 3000;
const mostAttempts = 4;

/** Callbacks for the progress of a request. */
export type RequestListener = {
	firstToken: (atMs: number) => void;
	refused: () => void;
	attempted: () => void;
};

export type ReplayRouter = {
	serve: (prepared: PreparedRequest, listener: RequestListener) => void;
	/** Restarts with a fresh policy; requests in flight run to their end. */
	restart: (policy: ReplayPolicy) => void;
	/** The current policy. */
	policy: () => ReplayPolicy;
	/** Makes the open connections to the endpoint silent; new ones work. */
	silence: (endpoint: string) => void;
	setEndpoints: (endpoints: readonly PlacementEndpoint[]) => void;
};

type Attempt = {
	prepared: PreparedRequest;
	listener: RequestListener;
	excluded: ReadonlySet<string>;
	count: number;
	hasFirstToken: boolean;
};

/** Creates a router over the engines. */
export const createReplayRouter = (first: ReplayPolicy, engines: ReadonlyMap<string, FakeEngine>, queue: EventQueue): ReplayRouter => {
	let policy = first;
	let budget: AttemptBudget = createRetryBudget();
	let endpointList: readonly PlacementEndpoint[] = [];
	/** Endpoints whose pooled connections are silent, which the router has not detected yet. */
	const silent = new Set<string>();
	/** Functions that fail the attempts in flight, by endpoint. */
	const inFlight = new Map<string, Set<(isSilent: boolean) => void>>();

	const placementRequest = ({prepared, excluded}: Attempt): PlacementRequest => ({
		service: prepared.request.service,
		workspace: prepared.request.workspace,
		version: prepared.request.version,
		adapter: prepared.request.adapter,
		pieces: prepared.pieces,
		promptTokens: prepared.promptTokens,
		maxOutputTokens: prepared.request.outputTokens,
		excluded,
	});

	const retry = (attempt: Attempt, failedAt: string): void => {
		if (attempt.count >= mostAttempts || !budget.withdraw()) {
			attempt.listener.refused();
			return;
		}

		tryOnce({...attempt, count: attempt.count + 1, excluded: new Set([...attempt.excluded, failedAt])});
	};

	const run = (attempt: Attempt, request: PlacementRequest, placement: Placement): void => {
		const engine = engines.get(placement.endpoint)!;
		const placingPolicy = policy;
		const startedAt = queue.now();
		let ended = false;
		let cancel: (() => void) | undefined;
		let cachedTokens = 0;
		let firstTokenMs: number | undefined;

		const end = (change: Partial<Outcome> & Pick<Outcome, 'result'>): void => {
			ended = true;
			inFlight.get(placement.endpoint)?.delete(fail);
			placingPolicy.finished(request, placement, {
				endpoint: placement.endpoint, promptTokens: request.promptTokens, cachedTokens, outputTokens: 0, firstTokenMs, ...change,
			});
		};

		const fail = (isSilent: boolean): void => {
			if (ended) {
				return;
			}

			cancel?.();
			end({result: 'failed'});
			if (isSilent) {
				destroyPool(placement.endpoint);
			}

			retry({...attempt, hasFirstToken: attempt.hasFirstToken || firstTokenMs !== undefined}, placement.endpoint);
		};

		const group = inFlight.get(placement.endpoint) ?? new Set();
		inFlight.set(placement.endpoint, group.add(fail));
		placingPolicy.started(request, placement);
		if (silent.has(placement.endpoint)) {
			queue.at(startedAt + silenceMs, () => {
				fail(true);
			});
			return;
		}

		queue.at(startedAt + networkMs, () => {
			if (ended) {
				return;
			}

			if (!engine.isUp()) {
				fail(false);
				return;
			}

			cancel = engine.submit(attempt.prepared, {
				firstToken(cached) {
					if (silent.has(placement.endpoint) || ended) {
						return;
					}

					cachedTokens = cached;
					firstTokenMs = queue.now() + networkMs - startedAt;
					if (!attempt.hasFirstToken) {
						attempt.listener.firstToken(queue.now() + networkMs);
					}
				},
				done(load) {
					if (!silent.has(placement.endpoint) && !ended) {
						end({result: 'answered', load, outputTokens: attempt.prepared.request.outputTokens});
					}
				},
				crashed() {
					fail(false);
				},
			});
		});
	};

	/** Discards the pool that holds a silent connection; its attempts are retried on new connections. */
	const destroyPool = (endpoint: string): void => {
		silent.delete(endpoint);
		for (const fail of inFlight.get(endpoint) ?? []) {
			fail(false);
		}
	};

	const tryOnce = (attempt: Attempt): void => {
		attempt.listener.attempted();
		const request = placementRequest(attempt);
		const placement = policy.place(request);
		if (placement === undefined) {
			attempt.listener.refused();
			return;
		}

		run(attempt, request, placement);
	};

	return {
		serve(prepared, listener) {
			budget.deposit();
			tryOnce({
				prepared, listener, excluded: new Set(), count: 1, hasFirstToken: false,
			});
		},
		restart(next) {
			policy = next;
			budget = createRetryBudget();
			policy.setEndpoints(endpointList);
		},
		policy: () => policy,
		silence(endpoint) {
			silent.add(endpoint);
			for (const fail of inFlight.get(endpoint) ?? []) {
				queue.at(queue.now() + silenceMs, () => {
					fail(true);
				});
			}
		},
		setEndpoints(endpoints) {
			endpointList = endpoints;
			policy.setEndpoints(endpoints);
		},
	};
};
