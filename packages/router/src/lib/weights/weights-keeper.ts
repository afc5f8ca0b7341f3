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
import {type ChangeTask, createChangeTurns} from './change-turns.js';
import {createEngineEmptying} from './engine-emptying.js';
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
	/** Milliseconds until the last request under way at an endpoint ends, as expected. */
	lastsMs: (id: string) => number;
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

/** Part of the time allowed for old weights after which an engine gets hardly any request. */
const unusableShare = 0.7;

/** Pause between two looks at an engine that is changing, in milliseconds. */
const lookEveryMs = 150;

/**
 * How long an accepted order is not given again, in milliseconds. An engine's
 * state is told some hundred milliseconds late and does not show the order yet;
 * each engine was ordered twice.
 */
const acceptedMs = 600;

/** Time left of the lease below which no order is sent: it has to arrive within the lease. */
const leastLeaseMs = 300;

/** Creates a keeper; it acts only while the lease is held. */
export function createWeightsKeeper(options: WeightsKeeperOptions): WeightsKeeper {
	const {view, presence, versions, control, log} = options;
	const busy = new Map<string, Promise<void>>();
	let ownedFencing: number | undefined;
	const startedAt = performance.now();
	const ownOrders = new Map<string, number>();
	/** Orders that engines have accepted: version, and when. */
	const accepted = new Map<string, {version: number; at: number}>();
	const othersOrders = new Map<string, number>();
	const emptying = createEngineEmptying({versions, lastsMs: options.lastsMs, announce: options.announce});
	const turns = createChangeTurns();

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

	const isNeeded = ({endpoint, model, version}: ChangeTask): boolean =>
		view.endpoint(endpoint.id)?.startedAt === endpoint.startedAt
		&& !presence.hasEnded(endpoint)
		&& view.namedWeights(model)?.version === version
		&& versions.of(endpoint, model).version < version;

	/** Whether another daemon ordered the engine too short a time ago. */
	const isAnothersStill = (id: string): boolean =>
		performance.now() - (othersOrders.get(id) ?? Number.NEGATIVE_INFINITY) < options.handoverMs;

	/** The state that an engine tells is from before it took the order. */
	const isAcceptedLately = ({endpoint, version}: ChangeTask): boolean => {
		const order = accepted.get(endpoint.id);
		return order?.version === version && performance.now() - order.at < acceptedMs;
	};

	/** Engines whose weights are too old for any new request lose nothing by changing at once. */
	const isUnusable = ({endpoint, model}: ChangeTask): boolean =>
		view.namedWeights(model)!.outdatedMs(versions.of(endpoint, model).version) > options.weightsMs * unusableShare;

	const step = async (task: ChangeTask): Promise<void> => {
		const {endpoint, model, version} = task;
		if (!emptying.isDrained(task, isUnusable(task))) {
			return;
		}

		const state = await control.state(endpoint);
		const running = state.weights.get(model);
		if (running !== undefined) {
			versions.seen(endpoint.id, running);
		}

		const held = lease();
		if (running === undefined || running >= version || state.isChanging || held === undefined || isAnothersStill(endpoint.id)) {
			return;
		}

		if (!emptying.isEmpty(task, state.waiting) || isAcceptedLately(task)) {
			return;
		}

		ownOrders.set(endpoint.id, performance.now());
		options.announce();
		const result = await control.order(endpoint, {
			model, version, holder: options.name, fencing: held.fencing, ordersTaken: state.ordersTaken,
		});
		if (result === 'accepted') {
			accepted.set(endpoint.id, {version, at: performance.now()});
		}

		if (result === 'misdirected') {
			presence.replaced(endpoint);
		}

		log.info('Engine was told to change its weights.', {
			endpoint: endpoint.id, version, result, order: held.fencing,
		});
	};

	const work = async (task: ChangeTask): Promise<void> => {
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

	const begin = (task: ChangeTask): void => {
		const {id} = task.endpoint;
		const startedMs = performance.now();
		busy.set(id, (async () => {
			await work(task);
			const awayMs = emptying.ended(id);
			if (awayMs !== undefined && versions.of(task.endpoint, task.model).version >= task.version) {
				turns.learn(awayMs);
			}

			busy.delete(id);
			log.info('Change of an engine\'s weights has ended.', {
				endpoint: id, version: versions.of(task.endpoint, task.model).version, ms: Math.round(performance.now() - startedMs),
			});
		})());
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

	/**
	 * An engine goes on with an order though newer weights have been named, and
	 * serves nobody until it has them. Where only the newest orders were counted,
	 * four of six engines were away at once after two namings in quick succession.
	 */
	const isCarryingOut = (endpoint: LiveEndpoint, models: readonly string[]): boolean =>
		models.some(model => versions.of(endpoint, model).isChanging);

	const startTasks = (service: string, models: readonly string[]): void => {
		const serving = view.endpointsOf(service).filter(endpoint => !presence.hasEnded(endpoint) && !presence.isDoubtful(endpoint));
		const waiting = tasksOf(service, models).filter(task => !busy.has(task.endpoint.id));
		const {due, later} = turns.plan({
			engines: serving.length,
			away: serving.filter(endpoint => busy.has(endpoint.id) || isCarryingOut(endpoint, models)).length,
			waiting: waiting.map(task => ({
				task,
				isAway: isCarryingOut(task.endpoint, models),
				isDoubtful: presence.isDoubtful(task.endpoint),
				isUnusable: isUnusable(task),
				dueInMs: versions.of(task.endpoint, task.model).dueInMs,
				lastsMs: options.lastsMs(task.endpoint.id),
			})),
		});
		for (const task of due) {
			begin(task);
		}

		for (const {task, inMs} of later) {
			versions.planned(task.endpoint.id, task.version, inMs);
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
