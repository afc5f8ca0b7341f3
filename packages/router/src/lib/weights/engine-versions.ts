/**
 * Tracks the weights versions that engines run, from the endpoint list, responses and reports
 * of the lease holder. The tracked versions may lag behind. They only grow, until the engine's
 * process ends or refuses a request for the tracked version.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {createOrderWatches, type OrderWatches} from './order-watches.js';

/** Tracked state of one engine. */
export type EngineVersion = {
	version: number;
	/** The engine is being drained or changed and gets no new requests. */
	isChanging: boolean;
	/** Its change was no longer reported before the new version was, so it may run either. */
	isUncertain: boolean;
	/** Milliseconds until its planned drain; infinite if none. */
	dueInMs: number;
};

/** Tracked states of all engines. */
export type EngineVersions = {
	of: (endpoint: LiveEndpoint, model: string) => EngineVersion;
	/** Records the version that the engine runs, from a response or report. */
	seen: (id: string, version: number) => void;
	/** The engine refused a request for this version: it counts as running the listed one until a response says otherwise. */
	disproved: (id: string, version: number) => void;
	/**
	 * Records that the engine is being drained or changed to a version; repeated while that lasts.
	 * `orderInMs` is the time until it is ordered at the latest; infinite if that is unknown or past.
	 */
	changing: (id: string, toVersion: number, orderInMs?: number) => void;
	/** Milliseconds until an engine that is being drained is ordered, at the latest; infinite if unknown or past. */
	orderInMs: (id: string) => number;
	/**
	 * Milliseconds for reports: until an engine that is being drained is ordered, at least 1, or else until its planned
	 * drain; infinite if neither is known. An earlier version states 0 for an engine that is being drained, so 0 is no
	 * time of an order.
	 */
	reportedDueMs: (endpoint: LiveEndpoint, model: string) => number;
	/** Calls `onDue` shortly before an engine is ordered to load, until the returned function is called. */
	watchOrder: OrderWatches['watch'];
	/** Records that the engine will be drained in `dueInMs` for a change to a version. */
	planned: (id: string, toVersion: number, dueInMs: number) => void;
	/** Engines that are being changed, with their target version. */
	allChanging: () => ReadonlyMap<string, number>;
	/** The engine's process has ended. */
	forget: (id: string) => void;
};

/**
 * Time after which a recorded change expires unless it is repeated; bounds how long an engine stays
 * unused when the lease holder dies. A drain or a load that takes longer doesn't end it: daemons
 * would send requests that the engine rejects.
 */
const maxChangeMs = 4000;

/** Lower bound of the time after which a plan expires unless the lease holder's reports repeat it. */
const minPlanTtlMs = 1000;

/** Options of {@link createEngineVersions}. */
export type EngineVersionsOptions = {
	/** Time within which a live lease holder repeats its plans, even if reports are lost. */
	planRepeatMs?: () => number;
};

type Change = {toVersion: number; heardAt: number; orderAt: number};

type Plan = {toVersion: number; dueAt: number; heardAt: number};

/** Creates a tracker that knows no engines. */
export function createEngineVersions({planRepeatMs = () => 0}: EngineVersionsOptions = {}): EngineVersions {
	const versions = new Map<string, number>();
	const changes = new Map<string, Change>();
	const plans = new Map<string, Plan>();

	const dueInMs = (id: string, version: number): number => {
		const plan = plans.get(id);
		const now = performance.now();
		return plan === undefined || plan.toVersion <= version || now - plan.heardAt > Math.max(minPlanTtlMs, planRepeatMs())
			? Number.POSITIVE_INFINITY
			: Math.max(0, plan.dueAt - now);
	};

	const currentChange = (id: string): Change | undefined => {
		const change = changes.get(id);
		if (change === undefined) {
			return undefined;
		}

		return performance.now() - change.heardAt < maxChangeMs ? change : undefined;
	};

	const orderInMs = (id: string): number => {
		const leftMs = (currentChange(id)?.orderAt ?? Number.POSITIVE_INFINITY) - performance.now();
		return leftMs > 0 ? leftMs : Number.POSITIVE_INFINITY;
	};

	const orderWatches = createOrderWatches({orderInMs});

	const of = (endpoint: LiveEndpoint, model: string): EngineVersion => {
		const listed = endpoint.weights.get(model) ?? 0;
		const version = Math.max(listed, versions.get(endpoint.id) ?? 0);
		const isDue = (changes.get(endpoint.id)?.toVersion ?? 0) > version;
		const isChanging = isDue && currentChange(endpoint.id) !== undefined;
		return {
			version, isChanging, isUncertain: isDue && !isChanging, dueInMs: dueInMs(endpoint.id, version),
		};
	};

	return {
		of,
		orderInMs,
		reportedDueMs(endpoint, model) {
			const {isChanging, dueInMs: plannedInMs} = of(endpoint, model);
			return isChanging ? Math.max(1, orderInMs(endpoint.id)) : plannedInMs;
		},
		watchOrder: orderWatches.watch,
		seen(id, version) {
			if (version > (versions.get(id) ?? 0)) {
				versions.set(id, version);
			}
		},
		disproved(id, version) {
			if (versions.get(id) === version) {
				versions.delete(id);
			}
		},
		changing(id, toVersion, inMs = Number.POSITIVE_INFINITY) {
			const known = changes.get(id);
			if (known === undefined || known.toVersion <= toVersion) {
				const now = performance.now();
				changes.set(id, {toVersion, heardAt: now, orderAt: now + inMs});
				orderWatches.updated(id);
			}
		},
		planned(id, toVersion, inMs) {
			const now = performance.now();
			plans.set(id, {toVersion, dueAt: now + inMs, heardAt: now});
		},
		allChanging() {
			const all = new Map<string, number>();
			for (const id of changes.keys()) {
				const change = currentChange(id);
				if (change !== undefined && (versions.get(id) ?? 0) < change.toVersion) {
					all.set(id, change.toVersion);
				}
			}

			return all;
		},
		forget(id) {
			versions.delete(id);
			changes.delete(id);
			plans.delete(id);
			orderWatches.updated(id);
		},
	};
}
