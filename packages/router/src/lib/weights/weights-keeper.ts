/**
 * Brings engines to the weights that the operator names. One daemon acts, by
 * lease; it changes a part of a service's engines at a time, so that the rest
 * goes on serving.
 */
import {type EndpointPresence} from '../fleet/endpoint-presence.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type HeldLease} from '../leases/lease-holder.js';
import {type Log} from '../observability/log.js';
import {pause} from '../time/pause.js';
import {type EngineVersions} from './engine-versions.js';
import {type WeightsControl} from './weights-control.js';

/** Options of {@link createWeightsKeeper}; durations in milliseconds. */
export type WeightsKeeperOptions = {
	/** Name of this daemon. */
	name: string;
	view: FleetView;
	/** Engines that have ended are not ordered, and those that don't answer don't count as serving. */
	presence: EndpointPresence;
	versions: EngineVersions;
	control: WeightsControl;
	/** The lease, looked up on the clock anew. */
	held: () => HeldLease | undefined;
	/**
	 * Orders of two holders to one engine must lie this far apart: engines that
	 * don't check fencing numbers obey any sender.
	 */
	handoverMs: number;
	/** Called before an order leaves, so that peers know of it should this daemon end. */
	announce: () => void;
	/** Requests must begin on weights that were named this long ago. */
	weightsMs: number;
	/** Requests under way at an endpoint, for the order of changes. */
	runningAt: (id: string) => number;
	log: Log;
};

/** The keeper; `tick` is called some times a second. */
export type WeightsKeeper = {
	tick: () => void;
	/** Milliseconds since this daemon ordered an engine; infinite when it has not. */
	sinceOrderMs: (id: string) => number;
	/** Another daemon ordered an engine so long ago. */
	heardOrder: (id: string, sinceMs: number) => void;
};

/** One engine that should get other weights. */
type Task = {endpoint: LiveEndpoint; model: string; version: number};

/**
 * Part of a service's serving engines that change at the same time. Engines
 * finish their runs before they load, and stand empty afterwards, so those that
 * are left carry nearly all. Four played days on which engines crash as well
 * served 0.786 to 0.814 of their worth with a third, 0.697 to 0.774 with a half,
 * 0.785 to 0.828 with a quarter (three days), which takes longest to be done.
 */
const changingShare = 0.34;

/** Part of the time allowed for old weights after which an engine gets hardly any request. */
const unusableShare = 0.7;

/** Pause between two looks at an engine that is changing, in milliseconds. */
const lookEveryMs = 150;

/**
 * How long an engine's queue may take to empty before it is ordered, in
 * milliseconds. An engine refuses what it has queued when it is ordered, and
 * most callers may be sent to one engine only: on days with 4 of 13 engines
 * crashed, 125 to 142 of 2,300 requests were refused so. From the moment the
 * engine is given up to the order, its peers send it nothing, and the report
 * that shows the queue is about 100 ms old; queues longer than this are of
 * engines so slow that waiting for them would leave the others with old weights.
 */
const emptyingMs = 800;

/** Least time for peers to hear that an engine takes nothing more, in milliseconds: a report travels at once, its effect shows in the next one of the engine. */
const leastEmptyingMs = 150;

/** Time left of the lease below which no order is sent: it has to arrive within the lease. */
const leastLeaseMs = 300;

/** Creates a keeper; it acts only while the lease is held. */
export function createWeightsKeeper(options: WeightsKeeperOptions): WeightsKeeper {
	const {view, presence, versions, control, log} = options;
	const busy = new Map<string, Promise<void>>();
	let ownedFencing: number | undefined;
	const startedAt = performance.now();
	const ownOrders = new Map<string, number>();
	const othersOrders = new Map<string, number>();
	/** Engines that are given no more requests, with when that began. */
	const emptying = new Map<string, number>();

	const lease = (): HeldLease | undefined => {
		const held = options.held();
		if (held === undefined) {
			ownedFencing = undefined;
			return undefined;
		}

		if (held.fencing !== ownedFencing) {
			ownedFencing = held.fencing;
			log.info('Orders to engines are this daemon\'s duty now.', {order: held.fencing});
		}

		// A process that has just started has not heard of the last orders of a
		// holder that is gone; by then they are old enough.
		const mayKnow = held.fencing === 1 || performance.now() - startedAt >= options.handoverMs;
		return mayKnow && held.msLeft >= leastLeaseMs ? held : undefined;
	};

	const isNeeded = ({endpoint, model, version}: Task): boolean =>
		view.endpoint(endpoint.id)?.startedAt === endpoint.startedAt
		&& !presence.hasEnded(endpoint)
		&& view.namedWeights(model)?.version === version
		&& versions.of(endpoint, model).version < version;

	/** Whether another daemon ordered the engine too short a time ago. */
	const isAnothersStill = (id: string): boolean =>
		performance.now() - (othersOrders.get(id) ?? Number.NEGATIVE_INFINITY) < options.handoverMs;

	/** Whether what the engine had queued has begun; from the first question on it gets nothing more. */
	const isEmpty = ({endpoint, version}: Task, waiting: number): boolean => {
		const now = performance.now();
		let since = emptying.get(endpoint.id);
		if (since === undefined) {
			since = now;
			emptying.set(endpoint.id, since);
		}

		versions.changing(endpoint.id, version);
		if (since === now) {
			options.announce();
		}

		const ms = now - since;
		return ms >= emptyingMs || (ms >= leastEmptyingMs && waiting === 0);
	};

	const step = async (task: Task): Promise<void> => {
		const {endpoint, model, version} = task;
		const state = await control.state(endpoint);
		const running = state.weights.get(model);
		if (running !== undefined) {
			versions.seen(endpoint.id, running);
		}

		const held = lease();
		if (running === undefined || running >= version || state.isChanging || held === undefined || isAnothersStill(endpoint.id)) {
			return;
		}

		if (!isEmpty(task, state.waiting)) {
			return;
		}

		ownOrders.set(endpoint.id, performance.now());
		options.announce();
		const result = await control.order(endpoint, {
			model, version, holder: options.name, fencing: held.fencing, ordersTaken: state.ordersTaken,
		});
		if (result === 'misdirected') {
			presence.replaced(endpoint);
		}

		log.info('Engine was told to change its weights.', {
			endpoint: endpoint.id, version, result, order: held.fencing,
		});
	};

	const work = async (task: Task): Promise<void> => {
		while (lease() !== undefined && isNeeded(task)) {
			try {
				await step(task);
			} catch (error) {
				presence.unreached(task.endpoint);
				log.warn('Engine gave no answer about its weights.', {endpoint: task.endpoint.id, version: task.version, err: error});
			}

			if (!isNeeded(task)) {
				return;
			}

			await pause(lookEveryMs);
		}
	};

	const begin = (task: Task): void => {
		const {id} = task.endpoint;
		const startedMs = performance.now();
		busy.set(id, (async () => {
			await work(task);
			busy.delete(id);
			emptying.delete(id);
			log.info('Change of an engine\'s weights has ended.', {
				endpoint: id, version: versions.of(task.endpoint, task.model).version, ms: Math.round(performance.now() - startedMs),
			});
		})());
	};

	const tasksOf = (service: string, models: readonly string[]): Task[] => {
		const tasks: Task[] = [];
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

	/** Engines whose weights are too old for any new request lose nothing by changing at once. */
	const isUnusable = ({endpoint, model}: Task): boolean =>
		view.namedWeights(model)!.outdatedMs(versions.of(endpoint, model).version) > options.weightsMs * unusableShare;

	const startTasks = (service: string, models: readonly string[]): void => {
		const endpoints = view.endpointsOf(service).filter(endpoint => !presence.hasEnded(endpoint) && !presence.isDoubtful(endpoint));
		const most = Math.max(1, Math.floor(endpoints.length * changingShare));
		const changing = endpoints.filter(endpoint => busy.has(endpoint.id)).length;
		const waiting = tasksOf(service, models).filter(task => !busy.has(task.endpoint.id));
		waiting.sort((a, b) => options.runningAt(a.endpoint.id) - options.runningAt(b.endpoint.id));
		let free = most - changing;
		for (const task of waiting) {
			if (free > 0 || isUnusable(task)) {
				begin(task);
				free--;
			}
		}
	};

	return {
		sinceOrderMs: id => performance.now() - (ownOrders.get(id) ?? Number.NEGATIVE_INFINITY),
		heardOrder(id, sinceMs) {
			othersOrders.set(id, Math.max(othersOrders.get(id) ?? 0, performance.now() - sinceMs));
		},
		tick() {
			const document = view.current()?.document;
			if (document === undefined || lease() === undefined) {
				return;
			}

			for (const service of document.services.values()) {
				if (service.engine !== undefined) {
					startTasks(service.name, service.engine.models);
				}
			}
		},
	};
}
