/**
 * Brings engines to the weights that the operator names. One daemon acts, by
 * lease; it changes a part of a service's engines at a time, so that the rest
 * goes on serving.
 */
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type HeldLease} from '../leases/lease-holder.js';
import {type Log} from '../observability/log.js';
import {type EngineVersions} from './engine-versions.js';
import {type WeightsControl} from './weights-control.js';

/** Options of {@link createWeightsKeeper}; durations in milliseconds. */
export type WeightsKeeperOptions = {
	/** Name of this daemon. */
	name: string;
	view: FleetView;
	versions: EngineVersions;
	control: WeightsControl;
	/** The lease, looked up on the clock anew. */
	held: () => HeldLease | undefined;
	/**
	 * Time that a new holder waits before its first order: engines that don't
	 * check fencing numbers obey any sender, so orders of two holders must lie
	 * this far apart.
	 */
	handoverMs: number;
	/** Requests under way at an endpoint, for the order of changes. */
	runningAt: (id: string) => number;
	log: Log;
};

/** The keeper; `tick` is called some times a second. */
export type WeightsKeeper = {
	tick: () => void;
};

/** One engine that should get other weights. */
type Task = {endpoint: LiveEndpoint; model: string; version: number};

/**
 * Part of a service's engines that change at the same time. Engines finish
 * their runs before they load, and loads slow each other down beyond a few.
 */
const changingShare = 0.5;

/** Pause between two looks at an engine that is changing. */
const lookEveryMs = 150;

/** Time left of the lease below which no order is sent: it has to arrive within the lease. */
const leastLeaseMs = 300;

/** Creates a keeper; it acts only while the lease is held. */
export function createWeightsKeeper(options: WeightsKeeperOptions): WeightsKeeper {
	const {view, versions, control, log} = options;
	const busy = new Map<string, Promise<void>>();
	let ownedFencing: number | undefined;
	let ownedSince = 0;

	const lease = (): HeldLease | undefined => {
		const held = options.held();
		if (held === undefined) {
			ownedFencing = undefined;
			return undefined;
		}

		if (held.fencing !== ownedFencing) {
			ownedFencing = held.fencing;
			ownedSince = performance.now();
			log.info('Orders to engines are this daemon\'s duty now.', {order: held.fencing});
		}

		// The first holder ever follows nobody.
		const waited = held.fencing === 1 || performance.now() - ownedSince >= options.handoverMs;
		return waited && held.msLeft >= leastLeaseMs ? held : undefined;
	};

	const isNeeded = ({endpoint, model, version}: Task): boolean =>
		view.endpoint(endpoint.id)?.startedAt === endpoint.startedAt
		&& view.namedWeights(model)?.version === version
		&& versions.of(endpoint, model).version < version;

	const step = async (task: Task): Promise<void> => {
		const {endpoint, model, version} = task;
		const state = await control.state(endpoint);
		const running = state.weights.get(model);
		if (running !== undefined) {
			versions.seen(endpoint.id, running);
		}

		const held = lease();
		if (running === undefined || running >= version || state.isChanging || held === undefined) {
			return;
		}

		// Known before the engine refuses, so that requests go elsewhere at once.
		versions.changing(endpoint.id, version);
		const result = await control.order(endpoint, {
			model, version, holder: options.name, fencing: held.fencing, ordersTaken: state.ordersTaken,
		});
		log.info('Engine was told to change its weights.', {
			endpoint: endpoint.id, version, result, order: held.fencing,
		});
	};

	const work = async (task: Task): Promise<void> => {
		while (lease() !== undefined && isNeeded(task)) {
			try {
				await step(task);
			} catch (error) {
				log.warn('Engine gave no answer about its weights.', {endpoint: task.endpoint.id, version: task.version, err: error});
			}

			if (!isNeeded(task)) {
				return;
			}

			await new Promise(resolve => {
				setTimeout(resolve, lookEveryMs);
			});
		}
	};

	const begin = (task: Task): void => {
		const {id} = task.endpoint;
		busy.set(id, (async () => {
			await work(task);
			busy.delete(id);
		})());
	};

	const tasksOf = (service: string, models: readonly string[]): Task[] => {
		const tasks: Task[] = [];
		for (const endpoint of view.endpointsOf(service)) {
			if (endpoint.isLeaving) {
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

	const startTasks = (service: string, models: readonly string[]): void => {
		const endpoints = view.endpointsOf(service);
		const most = Math.max(1, Math.floor(endpoints.length * changingShare));
		const changing = endpoints.filter(endpoint => busy.has(endpoint.id)).length;
		const waiting = tasksOf(service, models).filter(task => !busy.has(task.endpoint.id));
		waiting.sort((a, b) => options.runningAt(a.endpoint.id) - options.runningAt(b.endpoint.id));
		for (const task of waiting.slice(0, Math.max(0, most - changing))) {
			begin(task);
		}
	};

	return {
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
