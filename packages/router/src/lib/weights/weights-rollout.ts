/**
 * Updates engines to the weights that the operator names. Only the lease holder acts, and only
 * a part of a service's engines changes at a time.
 */
import {type EndpointPresence} from '../fleet/endpoint-presence.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type HeldLease} from '../leases/lease-holder.js';
import {type Log} from '../observability/log.js';
import {pause} from '../time/pause.js';
import {type ChangeTask, createRolloutPlanner, type EngineUse} from './rollout-planner.js';
import {createEngineDrains} from './engine-drains.js';
import {type EngineVersions} from './engine-versions.js';
import {runPolicyFor} from './run-policy.js';
import {
	type EngineState, type WeightsControl, type WeightsOrder,
} from './weights-control.js';

/** Options of {@link createWeightsRollout}; durations in milliseconds. */
export type WeightsRolloutOptions = {
	name: string;
	view: FleetView;
	/** Excludes ended engines from orders, and doubtful ones from the serving count. */
	presence: EndpointPresence;
	versions: EngineVersions;
	control: WeightsControl;
	/** The lease, evaluated at each call. */
	held: () => HeldLease | undefined;
	/** Minimum time between orders of two holders to one engine, for engines that ignore fencing tokens. */
	handoverMs: number;
	/** Whether this daemon can't reach an endpoint that other daemons reach. */
	isOutOfReach?: (endpoint: LiveEndpoint) => boolean;
	/** Called when an engine didn't answer a call. */
	onUnreached?: (endpoint: LiveEndpoint) => void;
	/** Called when another daemon should hold the lease, since this one can't reach the engines that are due. */
	handOver?: () => void;
	/** Called before an order is sent, so that peers know of it if this daemon dies. */
	announce: () => Promise<void> | void;
	/** Number of daemons that an announcement goes to. */
	daemons?: () => number;
	/** Maximum staleness of weights on which a request may begin. */
	weightsMs: number;
	/** Expected milliseconds until an endpoint's last request in flight ends. */
	remainingMs: (id: string) => number;
	/** Load of an engine, as far as known; idle if left out. */
	useOf?: (endpoint: LiveEndpoint) => EngineUse;
	/** Whether an endpoint has requests in flight, as far as known. */
	hasRequests?: (id: string) => boolean;
	/** Whether a daemon has a request at the endpoint that hasn't begun, as far as known. */
	hasUnstarted?: (id: string) => boolean;
	/** Called when an engine has been drained, right before its order: for how long, and with how many requests left in its queue. */
	onDrained?: (service: string, drainMs: number, waiting: number) => void;
	/** Minimum interval between two requests to an endpoint with a rate limit; `undefined` without a limit. */
	minRequestIntervalMs?: (endpoint: LiveEndpoint) => number | undefined;
	log: Log;
};

/** The rollout; `tick` is called several times per second. */
export type WeightsRollout = {
	tick: () => void;
	/** Milliseconds until this process may give orders, since it doesn't know those from before its start. */
	handoverLeftMs: () => number;
	/** Milliseconds since this daemon's last order to an engine; infinite if none. */
	sinceOrderMs: (id: string) => number;
	/** Number of engines that wait for their turn, and of those that are being drained or load. */
	counts: () => {waiting: number; changing: number};
	/** Records that another daemon ordered an engine `sinceMs` ago. */
	recordPeerOrder: (id: string, sinceMs: number) => void;
};

/** Fraction of `weightsMs` above which an engine gets hardly any requests. */
const maxWeightsAgeRatio = 0.7;

/** Fraction of `weightsMs` up to which an unusable engine may wait for its last requests; daemons have withdrawn those that wait by then. */
const maxWaitingAgeRatio = 0.9;

/** Fraction of `weightsMs` up to which an engine may wait for its running requests; an engine that loads by then is done in time. */
const maxRunAgeRatio = 1.05;

/**
 * Shortest limit of the wait for an engine's queue, which applies when a rollout is late. The engine
 * rejects what waits when it is ordered, so most queues should empty even then.
 */
const minQueueWaitLimitMs = 800;

const pollMs = 200;

/** Minimum interval between two announcements to peers, and its growth per daemon. */
const minAnnounceMs = 50;
const announceMsPerDaemon = 1;

/** Time for which an announcement waits for other engines' changes, which come in groups. */
const mergeAnnouncementsMs = 10;

/** Initial estimate of the time from an accepted order to the new weights. */
const initialLoadMs = 800;
const loadSmoothing = 0.3;

/** Bounds on the duration that one load adds to the estimate: factor on the estimate, and maximum. */
const maxLoadGrowth = 2;
const maxLoadMs = 2000;

/** Fraction of the expected load time after which an engine is first polled again. */
const firstPollRatio = 0.85;

/** Pause between later polls, as a fraction of the time that has passed since the order. */
const nextPollRatio = 0.3;
const maxPollMs = 1000;

/** Time after the first poll for which an accepted order is not repeated, since the engine's reported state lags behind. */
const acceptedOrderTtlMs = 600;

/** Minimum remaining lease to send an order, which must arrive within the lease. */
const minLeaseMs = 300;

/** Creates a rollout; it acts only while the lease is held. */
export function createWeightsRollout(options: WeightsRolloutOptions): WeightsRollout {
	const {view, presence, versions, control, log} = options;
	const inProgress = new Map<string, ChangeTask>();
	let heldFencing: number | undefined;
	const startedAt = performance.now();
	const ownOrders = new Map<string, number>();
	/** Accepted orders, by engine; `busyAt` is when the engine last reported that it carries an order out. */
	const acceptedOrders = new Map<string, {version: number; at: number; busyAt: number}>();
	const peerOrders = new Map<string, number>();
	let announcement: Promise<void> | undefined;
	let announcedAt = Number.NEGATIVE_INFINITY;
	let averageLoadMs = initialLoadMs;
	/** Minimum number of rounds that the rollout still takes, by service. */
	const roundsLeft = new Map<string, number>();
	/** Number of engines that wait for their turn, by service. */
	const waitingEngines = new Map<string, number>();
	const daemons = (): number => options.daemons?.() ?? 1;

	/** Resolves once peers have been informed; calls within one interval share an announcement. */
	const announce = async (): Promise<void> => {
		announcement ??= (async () => {
			const intervalMs = Math.max(minAnnounceMs, announceMsPerDaemon * daemons());
			await pause(Math.max(mergeAnnouncementsMs, announcedAt + intervalMs - performance.now()));
			announcement = undefined;
			announcedAt = performance.now();
			await options.announce();
		})();
		return announcement;
	};

	const drains = createEngineDrains({
		versions, remainingMs: options.remainingMs, hasUnstarted: options.hasUnstarted ?? (() => false), daemons, announce,
	});
	const planner = createRolloutPlanner();

	const handoverLeftMs = (): number => Math.max(0, startedAt + options.handoverMs - performance.now());

	const usableLease = (): HeldLease | undefined => {
		const held = options.held();
		if (held === undefined) {
			heldFencing = undefined;
			return undefined;
		}

		if (held.fencing !== heldFencing) {
			heldFencing = held.fencing;
			log.info('This daemon now gives orders to engines.', {order: held.fencing});
		}

		// A restarted process doesn't know its predecessor's last orders, so it waits out the
		// handover time.
		return (held.fencing === 1 || handoverLeftMs() === 0) && held.msLeft >= minLeaseMs ? held : undefined;
	};

	/** Whether another daemon ordered the engine within the handover time. */
	const isOrderedByPeer = (id: string): boolean =>
		performance.now() - (peerOrders.get(id) ?? Number.NEGATIVE_INFINITY) < options.handoverMs;

	/** The reported state may predate the order. */
	const isRecentlyAccepted = ({endpoint, version}: ChangeTask): boolean => {
		const order = acceptedOrders.get(endpoint.id);
		return order?.version === version && performance.now() - order.at < (averageLoadMs * firstPollRatio) + acceptedOrderTtlMs;
	};

	/** Milliseconds since the weights that the engine runs were replaced. */
	const outdatedMs = ({endpoint, model}: ChangeTask): number => view.namedWeights(model)!.outdatedMs(versions.of(endpoint, model).version);

	/** Whether the engine has accepted an order to this version and carries it out; another order can't replace that one. */
	const isCarriedOut = (task: ChangeTask): boolean => {
		const order = acceptedOrders.get(task.endpoint.id);
		return order?.version === task.version && (isRecentlyAccepted(task) || performance.now() - order.busyAt < maxPollMs + acceptedOrderTtlMs);
	};

	const isNeeded = (task: ChangeTask): boolean => {
		const {endpoint, model, version} = task;
		return view.endpoint(endpoint.id)?.startedAt === endpoint.startedAt
			&& !presence.hasEnded(endpoint)
			&& (view.namedWeights(model)?.version === version || isCarriedOut(task))
			&& versions.of(endpoint, model).version < version;
	};

	/** An engine that was not ordered yet goes to the newest weights; what it has waited for counts. */
	const withNewestVersion = (task: ChangeTask): ChangeTask => {
		const newest = view.namedWeights(task.model)?.version ?? task.version;
		return newest > task.version && !isCarriedOut(task) ? {...task, version: newest} : task;
	};

	/** Engines too stale for new requests lose nothing by changing at once. */
	const isUnusable = (task: ChangeTask): boolean => outdatedMs(task) > options.weightsMs * maxWeightsAgeRatio;

	/** An unusable engine that still has requests only waits for them; it takes no capacity and loads nothing yet. */
	const isOnlyWaiting = (task: ChangeTask): boolean => isUnusable(task) && (options.hasRequests?.(task.endpoint.id) ?? false);

	/**
	 * How long the engine's queue may take to empty: the share of its round in the time in which the rollout
	 * should end. An unusable engine that only waits takes no other's place, so it may wait until its requests
	 * have been withdrawn.
	 */
	const maxQueueWaitMs = (task: ChangeTask): number => {
		const outdated = outdatedMs(task);
		const limitMs = isOnlyWaiting(task)
			? (options.weightsMs * maxWaitingAgeRatio) - outdated
			: (((options.weightsMs * maxWeightsAgeRatio) - outdated) / (roundsLeft.get(task.endpoint.service) ?? 1)) - averageLoadMs;
		return Math.max(minQueueWaitLimitMs, limitMs);
	};

	const order = async (task: ChangeTask, state: EngineState, {fencing, runs}: Pick<WeightsOrder, 'fencing' | 'runs'>): Promise<void> => {
		const {endpoint, model, version} = task;
		ownOrders.set(endpoint.id, performance.now());
		await announce();
		const renewed = usableLease();
		if (renewed?.fencing !== fencing || isOrderedByPeer(endpoint.id) || !isNeeded(task)) {
			return;
		}

		const drainMs = drains.elapsedMs(endpoint.id) ?? 0;
		ownOrders.set(endpoint.id, performance.now());
		const result = await control.order(endpoint, {
			model, version, holder: options.name, fencing, ordersTaken: state.ordersTaken, runs,
		});
		if (result === 'accepted') {
			options.onDrained?.(endpoint.service, drainMs, state.waiting);
			acceptedOrders.set(endpoint.id, {version, at: performance.now(), busyAt: Number.NEGATIVE_INFINITY});
			versions.changing(endpoint.id, version);
		}

		if (result === 'misdirected') {
			presence.replaced(endpoint);
		}

		log.info('Engine was ordered to change its weights.', {
			endpoint: endpoint.id, version, weights: state.weights.get(model), weightsAgeMs: Math.round(outdatedMs(task)), result, order: fencing, ms: Math.round(drainMs),
			count: state.waiting, running: state.running, runs,
		});
	};

	const advance = async (task: ChangeTask): Promise<void> => {
		const {endpoint, model, version} = task;
		if (!drains.areLongRequestsDone(task, isUnusable(task))) {
			return;
		}

		const state = await control.state(endpoint);
		const running = state.weights.get(model);
		if (running !== undefined) {
			versions.seen(endpoint.id, running);
		}

		const held = usableLease();
		if (running === undefined || running >= version || held === undefined || isOrderedByPeer(endpoint.id)) {
			return;
		}

		const accepted = acceptedOrders.get(endpoint.id);
		if (state.isChanging && accepted !== undefined) {
			accepted.busyAt = performance.now();
		}

		if (state.isChanging || isRecentlyAccepted(task)) {
			// It takes no requests, however long its load takes.
			versions.changing(endpoint.id, version);
			return;
		}

		if (!drains.isQueueDone(task, {waiting: state.waiting, maxQueueWaitMs: maxQueueWaitMs(task)})) {
			return;
		}

		const runs = runPolicyFor({
			running: state.running, remainingMs: options.remainingMs(endpoint.id), leftMs: (options.weightsMs * maxRunAgeRatio) - outdatedMs(task),
		});
		if (runs !== undefined) {
			await order(task, state, {fencing: held.fencing, runs});
		}
	};

	/** An engine that loads weights isn't polled until its load is expected to end. */
	const pollPauseMs = ({endpoint, version}: ChangeTask): number => {
		const order = acceptedOrders.get(endpoint.id);
		if (order?.version !== version) {
			return drains.nextCheckMs(endpoint.id) ?? pollMs;
		}

		const loadingMs = performance.now() - order.at;
		return Math.max(pollMs, (averageLoadMs * firstPollRatio) - loadingMs, Math.min(maxPollMs, loadingMs * nextPollRatio));
	};

	const updateAverageLoad = ({endpoint, version}: ChangeTask): void => {
		const order = acceptedOrders.get(endpoint.id);
		if (order?.version === version) {
			// The end of a load may be observed long after it happened.
			const loadMs = Math.min(performance.now() - order.at, averageLoadMs * maxLoadGrowth, maxLoadMs);
			averageLoadMs += loadSmoothing * (loadMs - averageLoadMs);
		}
	};

	/** Changes an engine; returns the task that it ended with. */
	const runTask = async (first: ChangeTask): Promise<ChangeTask> => {
		let task = first;
		while (usableLease() !== undefined && isNeeded(task)) {
			try {
				await advance(task);
			} catch (error) {
				presence.unreached(task.endpoint);
				options.onUnreached?.(task.endpoint);
				log.warn('Engine did not answer a call about its weights.', {endpoint: task.endpoint.id, version: task.version, err: error});
			}

			task = withNewestVersion(task);
			inProgress.set(task.endpoint.id, task);
			if (!isNeeded(task)) {
				break;
			}

			await pause(Math.max(pollPauseMs(task), Math.min(maxPollMs, options.minRequestIntervalMs?.(task.endpoint) ?? 0)));
			task = withNewestVersion(task);
			inProgress.set(task.endpoint.id, task);
		}

		return task;
	};

	const startTask = (first: ChangeTask): void => {
		const {endpoint, model} = first;
		const {id} = endpoint;
		const startedMs = performance.now();
		if (!isRecentlyAccepted(first)) {
			acceptedOrders.delete(id);
		}

		inProgress.set(id, first);
		void (async () => {
			try {
				const task = await runTask(first);
				const downtimeMs = drains.finish(id);
				const {version} = versions.of(endpoint, model);
				if (downtimeMs !== undefined && version >= task.version) {
					// In a large fleet, peers would leave the engine idle until the next round of reports.
					void announce();
					planner.recordDowntime(downtimeMs);
					planner.recordTurn(performance.now() - startedMs);
					updateAverageLoad(task);
				}

				log.info('Change of an engine\'s weights ended.', {
					endpoint: id, version, result: version >= task.version ? 'changed' : 'abandoned', ms: Math.round(performance.now() - startedMs),
				});
			} finally {
				drains.finish(id);
				inProgress.delete(id);
			}
		})();
	};

	/** Milliseconds in which engines should run other weights, for each model and version that they run. */
	const createTimeLeft = (): ((task: ChangeTask) => number) => {
		const known = new Map<string, number>();
		return task => {
			const key = `${task.model} ${versions.of(task.endpoint, task.model).version}`;
			const msLeft = known.get(key) ?? (options.weightsMs * maxWeightsAgeRatio) - outdatedMs(task);
			known.set(key, msLeft);
			return msLeft;
		};
	};

	const tasksOf = (service: string, models: readonly string[]): ChangeTask[] => {
		const tasks: ChangeTask[] = [];
		for (const endpoint of view.endpointsOf(service)) {
			if (endpoint.isLeaving || presence.hasEnded(endpoint)) {
				continue;
			}

			for (const model of models) {
				const named = view.namedWeights(model);
				if (named !== undefined && versions.of(endpoint, model).version < named.version) {
					tasks.push({endpoint, model, version: named.version});
				}
			}
		}

		return tasks;
	};

	/** An engine finishes an earlier order even if newer weights were named, and counts as changing until then. */
	const isCarryingOut = (endpoint: LiveEndpoint, models: readonly string[]): boolean =>
		models.some(model => versions.of(endpoint, model).isChanging);

	/**
	 * Hands the duty over once all engines that are left are out of reach. An order that a peer passed
	 * on would count as that peer's.
	 */
	const handOverIfOutOfReach = (service: string, models: readonly string[]): boolean => {
		const tasks = tasksOf(service, models);
		if (tasks.length === 0 || !tasks.every(({endpoint}) => options.isOutOfReach?.(endpoint) ?? false)) {
			return false;
		}

		log.info('Duty is handed over, since the engines that are due are out of reach.', {service, count: tasks.length});
		options.handOver?.();
		return true;
	};

	const isChanging = (endpoint: LiveEndpoint, models: readonly string[]): boolean => {
		const task = inProgress.get(endpoint.id);
		return task === undefined ? isCarryingOut(endpoint, models) : !isOnlyWaiting(task);
	};

	const startTasks = (service: string, models: readonly string[]): void => {
		const serving = view.endpointsOf(service).filter(endpoint => !presence.hasEnded(endpoint) && !presence.isDoubtful(endpoint));
		const tasks = tasksOf(service, models);
		if (tasks.length === 0) {
			waitingEngines.delete(service);
			return;
		}

		const pending = tasks.filter(task => !inProgress.has(task.endpoint.id));
		const {useOf} = options;
		const timeLeft = createTimeLeft();
		const uses = new Map(useOf === undefined ? [] : serving.map(endpoint => [endpoint.id, useOf(endpoint)]));
		const {due, later, rounds} = planner.plan({
			engines: serving.length,
			changing: serving.filter(endpoint => isChanging(endpoint, models)).length,
			pending: pending.map(task => ({
				task,
				isChanging: isCarryingOut(task.endpoint, models),
				isDoubtful: presence.isDoubtful(task.endpoint),
				isUnusable: isUnusable(task),
				isOnlyWaiting: isOnlyWaiting(task),
				dueInMs: versions.of(task.endpoint, task.model).dueInMs,
				remainingMs: options.remainingMs(task.endpoint.id) + (uses.get(task.endpoint.id)?.queueMs ?? 0),
				msLeft: timeLeft(task),
			})),
			uses: [...uses.values()],
		});
		roundsLeft.set(service, rounds);
		waitingEngines.set(service, later.length);
		for (const task of due) {
			startTask(task);
		}

		for (const {task, inMs} of later) {
			versions.planned(task.endpoint.id, task.version, inMs);
		}
	};

	return {
		counts() {
			if (options.held() === undefined) {
				return {waiting: 0, changing: 0};
			}

			return {waiting: [...waitingEngines.values()].reduce((sum, count) => sum + count, 0), changing: inProgress.size};
		},
		handoverLeftMs,
		sinceOrderMs: id => performance.now() - (ownOrders.get(id) ?? Number.NEGATIVE_INFINITY),
		recordPeerOrder(id, sinceMs) {
			peerOrders.set(id, Math.max(peerOrders.get(id) ?? 0, performance.now() - sinceMs));
		},
		tick() {
			const document = view.current()?.document;
			if (document === undefined || usableLease() === undefined) {
				return;
			}

			for (const service of document.services.values()) {
				if (service.engine === undefined) {
					continue;
				}

				if (handOverIfOutOfReach(service.name, service.engine.models)) {
					return;
				}

				startTasks(service.name, service.engine.models);
			}
		},
	};
}
