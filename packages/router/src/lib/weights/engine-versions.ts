/**
 * What this process believes of the weights that engines run. It comes from
 * the platform's list (some seconds late), from answers (at once), and from the
 * daemon that gives orders; the newest word counts, and versions only grow.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';

/** Belief about one engine. */
export type EngineVersion = {
	version: number;
	/** The engine has been told to change, or is about to be, and gets no new requests until it has. */
	isChanging: boolean;
	/** Milliseconds until the engine is emptied for a change that is planned; infinite when none is. */
	dueInMs: number;
};

/** Beliefs about all engines, by endpoint. */
export type EngineVersions = {
	of: (endpoint: LiveEndpoint, model: string) => EngineVersion;
	/** An answer or a report said which weights the engine runs. */
	seen: (id: string, version: number) => void;
	/** It will be ordered as soon as its queue is empty, or was ordered. */
	changing: (id: string, toVersion: number) => void;
	/** It is to be emptied in so many milliseconds, to come to this version. */
	planned: (id: string, toVersion: number, dueInMs: number) => void;
	/** Engines that are being changed, with the version that they come to. */
	allChanging: () => ReadonlyMap<string, number>;
	forget: (id: string) => void;
};

/**
 * Longest time for which an engine counts as changing without further word, in
 * milliseconds: runs end first and the load follows, a few seconds in all. It
 * bounds how long an engine stays unused when the daemon that ordered has died.
 */
const longestChangeMs = 4000;

/**
 * Time after which a plan that nobody has repeated is void, in milliseconds; the
 * daemon that orders tells it with each report.
 */
const planLifeMs = 1000;

type Change = {toVersion: number; since: number};

type Plan = {toVersion: number; dueAt: number; heardAt: number};

/** Opens the beliefs; nothing is known yet. */
export function createEngineVersions(): EngineVersions {
	const versions = new Map<string, number>();
	const changes = new Map<string, Change>();
	const plans = new Map<string, Plan>();

	const dueInMs = (id: string, version: number): number => {
		const plan = plans.get(id);
		const now = performance.now();
		return plan === undefined || plan.toVersion <= version || now - plan.heardAt > planLifeMs
			? Number.POSITIVE_INFINITY
			: Math.max(0, plan.dueAt - now);
	};

	const currentChange = (id: string): Change | undefined => {
		const change = changes.get(id);
		if (change === undefined) {
			return undefined;
		}

		if (performance.now() - change.since < longestChangeMs) {
			return change;
		}

		changes.delete(id);
		return undefined;
	};

	return {
		of(endpoint, model) {
			const listed = endpoint.weights.get(model) ?? 0;
			const version = Math.max(listed, versions.get(endpoint.id) ?? 0);
			const change = currentChange(endpoint.id);
			return {version, isChanging: change !== undefined && change.toVersion > version, dueInMs: dueInMs(endpoint.id, version)};
		},
		seen(id, version) {
			if (version > (versions.get(id) ?? 0)) {
				versions.set(id, version);
			}
		},
		changing(id, toVersion) {
			const known = changes.get(id);
			if (known === undefined || known.toVersion < toVersion) {
				changes.set(id, {toVersion, since: performance.now()});
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
		},
	};
}
