/**
 * One router of a replay: the policy under test with the little of a gateway
 * that tries placements, notices failure and silence, and tries again.
 */
import {type Outcome, type Placement, type PlacementRequest} from 'hickorywalk/gateway.js';
import {createRetryBudget, type AttemptBudget, type PlacementEndpoint} from 'hickorywalk/routing.js';
import {type EventQueue} from './event-queue.js';
import {type FakeEngine} from './fake-engine.js';
import {type ReplayPolicy} from './policies.js';
import {type PreparedRequest} from './trace-pieces.js';

/** One way over the network, in milliseconds. */
const networkMs = 0.5;
/** Silence of an endpoint before the first token that counts as failure. */
const silenceMs = 3000;
const mostAttempts = 4;

/** What becomes of a request in the end. */
export type RequestListener = {
	firstToken: (atMs: number) => void;
	refused: () => void;
	attempted: () => void;
};

/** One router. */
export type ReplayRouter = {
	serve: (prepared: PreparedRequest, listener: RequestListener) => void;
	/** Starts anew with another policy that knows nothing; its requests end. */
	restart: (policy: ReplayPolicy) => void;
	/** The policy that decides now. */
	policy: () => ReplayPolicy;
	/** Connections to the endpoint, open now, go silent. */
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

/** Opens a router over the engines. */
export const createReplayRouter = (first: ReplayPolicy, engines: ReadonlyMap<string, FakeEngine>, queue: EventQueue): ReplayRouter => {
	let policy = first;
	let budget: AttemptBudget = createRetryBudget();
	let endpointList: readonly PlacementEndpoint[] = [];
	/** Endpoints to which the pooled connections are silent, and nobody has noticed. */
	const silent = new Set<string>();
	/** What fails each attempt under way, by endpoint. */
	const underWay = new Map<string, Set<(isSilent: boolean) => void>>();

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
		const deciding = policy;
		const startedAt = queue.now();
		let over = false;
		let cancel: (() => void) | undefined;
		let cachedTokens = 0;
		let firstTokenMs: number | undefined;

		const end = (change: Partial<Outcome> & Pick<Outcome, 'result'>): void => {
			over = true;
			underWay.get(placement.endpoint)?.delete(fail);
			deciding.finished(request, placement, {
				endpoint: placement.endpoint, promptTokens: request.promptTokens, cachedTokens, outputTokens: 0, firstTokenMs, ...change,
			});
		};

		const fail = (isSilent: boolean): void => {
			if (over) {
				return;
			}

			cancel?.();
			end({result: 'failed'});
			if (isSilent) {
				destroyPool(placement.endpoint);
			}

			retry({...attempt, hasFirstToken: attempt.hasFirstToken || firstTokenMs !== undefined}, placement.endpoint);
		};

		const group = underWay.get(placement.endpoint) ?? new Set();
		underWay.set(placement.endpoint, group.add(fail));
		deciding.started(request, placement);
		if (silent.has(placement.endpoint)) {
			queue.at(startedAt + silenceMs, () => {
				fail(true);
			});
			return;
		}

		queue.at(startedAt + networkMs, () => {
			if (over) {
				return;
			}

			if (!engine.isUp()) {
				fail(false);
				return;
			}

			cancel = engine.submit(attempt.prepared, {
				firstToken(cached) {
					if (silent.has(placement.endpoint) || over) {
						return;
					}

					cachedTokens = cached;
					firstTokenMs = queue.now() + networkMs - startedAt;
					if (!attempt.hasFirstToken) {
						attempt.listener.firstToken(queue.now() + networkMs);
					}
				},
				done(load) {
					if (!silent.has(placement.endpoint) && !over) {
						end({result: 'answered', load, outputTokens: attempt.prepared.request.outputTokens});
					}
				},
				crashed() {
					fail(false);
				},
			});
		});
	};

	/** What shares a pool with a silent connection is tried again on new ones. */
	const destroyPool = (endpoint: string): void => {
		silent.delete(endpoint);
		for (const fail of underWay.get(endpoint) ?? []) {
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
			for (const fail of underWay.get(endpoint) ?? []) {
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
