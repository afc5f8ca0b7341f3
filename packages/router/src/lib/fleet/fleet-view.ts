/**
 * State of the fleet as this process knows it: document, endpoints, named weights.
 * State is monotonic: stale updates are ignored.
 */
import {isDeepStrictEqual} from 'node:util';
import {type Log} from '../observability/log.js';
import {type FleetClock, processClock} from '../time/fleet-clock.js';
import {type FleetDocument, type Workspace} from './fleet-document.js';
import {createLeavingRecord, type EndpointProcess} from './leaving-record.js';
import {isNewer, type LiveEndpoint} from './live-endpoint.js';
import {createRouteTable, type RouteTable} from './route-table.js';

/** The document in force, with its indexes. */
export type AcceptedDocument = {
	document: FleetDocument;
	routes: RouteTable;
	/** By key digest. */
	workspaceOfKey: ReadonlyMap<string, Workspace>;
};

/** Weights versions that the operator named for a model. */
export type NamedWeights = {
	/** The newest version. */
	version: number;
	/** Milliseconds since the first newer version was named; 0 for the newest. */
	outdatedMs: (version: number) => number;
};

/** One naming; the age in milliseconds is the largest possible one if it is not exact (`isDated`). */
export type RestoredNaming = {version: number; ageMs: number; isDated: boolean};

/** Gets an endpoint's new and previous state; `undefined` while it is not listed. */
export type EndpointListener = (id: string, endpoint: LiveEndpoint | undefined, before: LiveEndpoint | undefined) => void;

/** Where the knowledge that an endpoint is leaving comes from. */
export type LeavingSource = 'list' | 'answer' | 'peer';

/** The view, for the router's parts to read and the feeds to write. */
export type FleetView = {
	current: () => AcceptedDocument | undefined;
	/** Ignores documents with an earlier version. One with the current version is accepted if it differs: a restored store gives versions out again. */
	acceptDocument: (document: FleetDocument) => void;
	/** Live endpoints of a service, including leaving ones. */
	endpointsOf: (service: string) => readonly LiveEndpoint[];
	endpoint: (id: string) => LiveEndpoint | undefined;
	/** Tokens that an engine's memory holds; `undefined` if unknown or not an engine. */
	memoryTokens: (id: string) => number | undefined;
	/** Connections that an endpoint of this service accepts from all daemons together; infinite if unknown. */
	maxConnections: (service: string) => number;
	/** Ignores state that is not newer than what is known. */
	acceptEndpoint: (endpoint: LiveEndpoint) => void;
	/** Replaces what is known of an endpoint, which came from another writer. */
	correctEndpoint: (endpoint: LiveEndpoint) => void;
	/** An endpoint process is leaving, whether or not the list says so. */
	markLeaving: (process: EndpointProcess, source: LeavingSource) => void;
	/** Listed endpoints that are leaving although the list does not say so, latest last. */
	unlistedLeaving: () => EndpointProcess[];
	/** The endpoint is no longer listed. */
	dropEndpoint: (id: string) => void;
	endpointIds: () => Iterable<string>;
	namedWeights: (model: string) => NamedWeights | undefined;
	/**
	 * Weights were named at most `unseenMs` ago. If 0, this daemon saw the naming without delay: it
	 * happened when the store answered, which is `answeredMs` ago.
	 */
	acceptWeights: (model: string, version: number, unseenMs: number, answeredMs?: number) => void;
	/** A peer that saw the naming without delay reports its age. */
	acceptNamingAge: (model: string, version: number, ageMs: number) => void;
	/** Namings of the last `maxAgeMs` whose age is exact. */
	recentWeights: (maxAgeMs: number) => Array<[model: string, version: number, ageMs: number]>;
	/** Restores a naming from a complete record of namings up to some time. */
	restoreWeights: (model: string, naming: RestoredNaming) => void;
	/** Lowers the maximum age of a naming whose time is not known, and of missed namings before it. */
	boundWeights: (model: string, version: number, atMostMs: number) => void;
	/** All stored namings; the age is the largest possible one of the version and any missed before it, infinite if unknown. */
	namings: () => Array<{model: string} & RestoredNaming>;
	/** Called with the model whenever a naming was added. */
	onWeights: (listener: (model: string) => void) => void;
	/** Called for every added, changed or removed endpoint. */
	onEndpoint: (listener: EndpointListener) => void;
	/** Called for every accepted document. */
	onDocument: (listener: (accepted: AcceptedDocument) => void) => void;
};

/**
 * One naming of weights, with times on the view's clock. Without an exact time (`isDated`), `learntAt` is the earliest
 * possible one, so that staleness is never underestimated.
 */
type Naming = {
	version: number;
	learntAt: number;
	isDated: boolean;
	/** Earliest time at which a missed naming between the previous one and this one may have happened. */
	gapAt: number;
};

/** Namings stored per model. */
const maxNamings = 16;

/** Keeps the newest namings. The first of them stands for those that are dropped: they count as missed before it. */
function withoutOldest(history: readonly Naming[]): Naming[] {
	const dropped = history.at(-maxNamings - 1);
	const kept = history.slice(-maxNamings);
	if (dropped !== undefined) {
		kept[0].gapAt = Math.min(kept[0].gapAt, dropped.gapAt, dropped.learntAt);
	}

	return kept;
}

/** Creates an empty view; ages of weights are measured on `clock`. */
export function createFleetView(log: Log, {now}: Pick<FleetClock, 'now'> = processClock): FleetView {
	const endpoints = new Map<string, LiveEndpoint>();
	/** Cached lists; a change removes the service's list. */
	const byService = new Map<string, readonly LiveEndpoint[]>();
	const leaving = createLeavingRecord();
	/** Endpoints that are leaving although the list does not say so. */
	const unlistedLeaving = new Set<string>();
	const named = new Map<string, Naming[]>();
	const weightsListeners: Array<(model: string) => void> = [];
	const endpointListeners: EndpointListener[] = [];
	const documentListeners: Array<(accepted: AcceptedDocument) => void> = [];
	let accepted: AcceptedDocument | undefined;

	const endpointsOf = (service: string): readonly LiveEndpoint[] => {
		let list = byService.get(service);
		if (list === undefined) {
			list = [...endpoints.values()].filter(endpoint => endpoint.service === service);
			byService.set(service, list);
		}

		return list;
	};

	const notifyWeights = (model: string): void => {
		for (const listener of weightsListeners) {
			listener(model);
		}
	};

	const insertNaming = (model: string, naming: Naming): void => {
		const history = [...named.get(model) ?? [], naming];
		named.set(model, withoutOldest(history.toSorted((a, b) => a.version - b.version)));
		notifyWeights(model);
	};

	const notify: EndpointListener = (id, endpoint, before) => {
		for (const listener of endpointListeners) {
			listener(id, endpoint, before);
		}
	};

	const put = (endpoint: LiveEndpoint, known: LiveEndpoint | undefined, source: LeavingSource): void => {
		endpoints.set(endpoint.id, endpoint);
		byService.delete(endpoint.service);
		if (known !== undefined) {
			byService.delete(known.service);
		}

		if (known?.isLeaving !== endpoint.isLeaving || known.startedAt !== endpoint.startedAt) {
			log.info(endpoint.isLeaving ? 'Endpoint is leaving.' : 'Endpoint is live.', {
				endpoint: endpoint.id, service: endpoint.service, software: endpoint.software, ...(endpoint.isLeaving && {reason: source}),
			});
		}

		notify(endpoint.id, endpoint, known);
	};

	const acceptEndpoint = (endpoint: LiveEndpoint): void => {
		const known = endpoints.get(endpoint.id);
		if (known !== undefined && !isNewer(endpoint, known)) {
			return;
		}

		if (endpoint.isLeaving) {
			leaving.add(endpoint);
		}

		const isUnlisted = !endpoint.isLeaving && leaving.has(endpoint);
		if (isUnlisted) {
			unlistedLeaving.add(endpoint.id);
		} else {
			unlistedLeaving.delete(endpoint.id);
		}

		put(isUnlisted ? {...endpoint, isLeaving: true} : endpoint, known, 'list');
	};

	const dropEndpoint = (id: string): void => {
		const known = endpoints.get(id);
		if (known === undefined) {
			return;
		}

		endpoints.delete(id);
		unlistedLeaving.delete(id);
		byService.delete(known.service);
		log.info('Endpoint is no longer listed.', {endpoint: id, service: known.service});
		notify(id, undefined, known);
	};

	return {
		current: () => accepted,
		acceptDocument(document) {
			const before = accepted?.document;
			if (before !== undefined && (document.version < before.version || isDeepStrictEqual(document, before))) {
				return;
			}

			accepted = {document, routes: createRouteTable(document.routes), workspaceOfKey: indexKeys(document)};
			log.info('Document accepted.', {version: document.version, count: document.routes.length});
			for (const listener of documentListeners) {
				listener(accepted);
			}
		},
		endpointsOf,
		endpoint: id => endpoints.get(id),
		maxConnections: service => accepted?.document.services.get(service)?.maxConnections ?? Number.POSITIVE_INFINITY,
		memoryTokens: id => accepted?.document.services.get(endpoints.get(id)?.service ?? '')?.engine?.memoryTokens,
		acceptEndpoint,
		correctEndpoint(endpoint) {
			log.warn('Endpoint\'s rows go on after one of another writer, which is dropped.', {endpoint: endpoint.id, service: endpoint.service});
			dropEndpoint(endpoint.id);
			leaving.removeLater(endpoint);
			acceptEndpoint(endpoint);
		},
		markLeaving(process, source) {
			const known = endpoints.get(process.id);
			if (leaving.add(process) && known !== undefined && !known.isLeaving && leaving.has(known)) {
				unlistedLeaving.add(process.id);
				put({...known, isLeaving: true}, known, source);
			}
		},
		unlistedLeaving: () => Array.from(unlistedLeaving, id => endpoints.get(id)!),
		dropEndpoint,
		endpointIds: () => endpoints.keys(),
		namedWeights(model) {
			const history = named.get(model);
			return history && {
				version: history.at(-1)!.version,
				outdatedMs(version) {
					const next = history.find(item => item.version > version);
					if (next === undefined) {
						return 0;
					}

					const isSuccessor = next.version === version + 1;
					return now() - (isSuccessor ? next.learntAt : Math.min(next.learntAt, next.gapAt));
				},
			};
		},
		acceptWeights(model, version, unseenMs, answeredMs = 0) {
			const history = named.get(model) ?? [];
			if (version <= (history.at(-1)?.version ?? 0)) {
				return;
			}

			const ageMs = Math.max(unseenMs, answeredMs);
			const learntAt = now() - ageMs;
			const naming: Naming = {
				version, learntAt, isDated: unseenMs === 0, gapAt: learntAt,
			};
			named.set(model, withoutOldest([...history, naming]));
			log.info('New weights version was named.', {version, ms: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, reason: naming.isDated ? 'dated' : 'undated'});
			notifyWeights(model);
		},
		acceptNamingAge(model, version, ageMs) {
			const history = named.get(model) ?? [];
			if (version > (history.at(-1)?.version ?? 0)) {
				return;
			}

			const learntAt = now() - ageMs;
			const naming = history.find(item => item.version === version);
			if (naming === undefined) {
				// The store lists only the newest naming, but engines may run older ones.
				insertNaming(model, {
					version, learntAt, isDated: true, gapAt: Number.NEGATIVE_INFINITY,
				});
				return;
			}

			naming.learntAt = naming.isDated ? Math.min(naming.learntAt, learntAt) : learntAt;
			naming.isDated = true;
		},
		recentWeights(maxAgeMs) {
			const recent: Array<[string, number, number]> = [];
			for (const [model, history] of named) {
				for (const {version, learntAt, isDated} of history) {
					const ageMs = now() - learntAt;
					if (isDated && ageMs <= maxAgeMs) {
						recent.push([model, version, Math.round(ageMs)]);
					}
				}
			}

			return recent;
		},
		restoreWeights(model, {version, ageMs, isDated}) {
			const history = named.get(model) ?? [];
			const learntAt = now() - ageMs;
			const naming = history.find(item => item.version === version);
			if (naming === undefined) {
				if (version < (history.at(-1)?.version ?? 0)) {
					insertNaming(model, {
						version, learntAt, isDated, gapAt: learntAt,
					});
				}

				return;
			}

			naming.gapAt = Math.max(naming.gapAt, learntAt);
			if (!naming.isDated) {
				naming.learntAt = isDated ? learntAt : Math.max(naming.learntAt, learntAt);
				naming.isDated = isDated;
			}
		},
		boundWeights(model, version, atMostMs) {
			const naming = named.get(model)?.find(item => item.version === version);
			if (naming !== undefined && !naming.isDated) {
				naming.learntAt = Math.max(naming.learntAt, now() - atMostMs);
				naming.gapAt = Math.max(naming.gapAt, naming.learntAt);
			}
		},
		namings() {
			const at = now();
			return [...named].flatMap(([model, history]) => history.map(({version, learntAt, isDated, gapAt}) => ({
				model, version, ageMs: at - Math.min(learntAt, gapAt), isDated: isDated && learntAt <= gapAt,
			})));
		},
		onWeights(listener) {
			weightsListeners.push(listener);
		},
		onEndpoint(listener) {
			endpointListeners.push(listener);
		},
		onDocument(listener) {
			documentListeners.push(listener);
		},
	};
}

function indexKeys({workspaces}: FleetDocument): Map<string, Workspace> {
	const index = new Map<string, Workspace>();
	for (const workspace of workspaces) {
		for (const digest of workspace.keyDigests) {
			index.set(digest, workspace);
		}
	}

	return index;
}
