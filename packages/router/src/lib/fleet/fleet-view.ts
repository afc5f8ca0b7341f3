/**
 * What this process believes of the fleet: the document in force, the live
 * endpoints and the weights that were named. Beliefs only move forward: news
 * that is older than what is known changes nothing, so a late answer of the
 * store or an endpoint's outdated report can't bring back what has ended.
 */
import {type Log} from '../observability/log.js';
import {type FleetDocument, type Workspace} from './fleet-document.js';
import {isNewer, type LiveEndpoint} from './live-endpoint.js';
import {createRouteTable, type RouteTable} from './route-table.js';

/** A document with what is looked up in it. */
export type AcceptedDocument = {
	document: FleetDocument;
	routes: RouteTable;
	/** By the digest of a key. */
	workspaceOfKey: ReadonlyMap<string, Workspace>;
};

/** Weights that the operator named for a model. */
export type NamedWeights = {
	/** The newest version. */
	version: number;
	/**
	 * Milliseconds since a version was outdated: since the first newer one was
	 * named, however many have been named after it. 0 for the newest one.
	 */
	outdatedMs: (version: number) => number;
};

/** Hears what an endpoint says of itself now and said before; `undefined` while it is not listed. */
export type EndpointListener = (id: string, endpoint: LiveEndpoint | undefined, before: LiveEndpoint | undefined) => void;

/** The view, as the router's parts read it and as sources of news write it. */
export type FleetView = {
	current: () => AcceptedDocument | undefined;
	/** Takes a document over unless it is older than the one in force. */
	acceptDocument: (document: FleetDocument) => void;
	/** Live endpoints of a service, leaving ones included. */
	endpointsOf: (service: string) => readonly LiveEndpoint[];
	endpoint: (id: string) => LiveEndpoint | undefined;
	/** Tokens that an engine's memory holds; `undefined` for what is no engine, or not known. */
	memoryTokens: (id: string) => number | undefined;
	/** Takes over what an endpoint says of itself. */
	acceptEndpoint: (endpoint: LiveEndpoint) => void;
	/** An endpoint is no longer listed. */
	dropEndpoint: (id: string) => void;
	endpointIds: () => Iterable<string>;
	namedWeights: (model: string) => NamedWeights | undefined;
	/** Weights were named, at most `unseenMs` before this process heard of it; 0 when it heard at once. */
	acceptWeights: (model: string, version: number, unseenMs: number) => void;
	/** A peer that heard of the naming at once says how long ago that was. */
	datedWeights: (model: string, version: number, ageMs: number) => void;
	/** Recent namings that this process or a peer heard of at once: model, version, milliseconds since. */
	recentWeights: (mostMs: number) => Array<[model: string, version: number, ageMs: number]>;
	/** Hears of every endpoint that came, changed or went. */
	onEndpoint: (listener: EndpointListener) => void;
	/** Hears of every document that came into force. */
	onDocument: (listener: (accepted: AcceptedDocument) => void) => void;
};

/**
 * One naming of weights. A process that was away does not know when it was; it
 * takes the earliest moment possible, so that it begins no request on weights
 * that are too old, until a peer that was there says better.
 */
type Naming = {version: number; learntAt: number; isDated: boolean};

/** Versions of a model's weights whose naming is remembered; engines are a few behind at most. */
const namedKept = 16;

/** Opens a view that knows nothing yet. */
export function createFleetView(log: Log): FleetView {
	const endpoints = new Map<string, LiveEndpoint>();
	const byService = new Map<string, readonly LiveEndpoint[]>();
	const named = new Map<string, Naming[]>();
	const endpointListeners: EndpointListener[] = [];
	const documentListeners: Array<(accepted: AcceptedDocument) => void> = [];
	let accepted: AcceptedDocument | undefined;

	const regroup = (service: string): void => {
		byService.set(service, [...endpoints.values()].filter(endpoint => endpoint.service === service));
	};

	const tell: EndpointListener = (id, endpoint, before) => {
		for (const listener of endpointListeners) {
			listener(id, endpoint, before);
		}
	};

	return {
		current: () => accepted,
		acceptDocument(document) {
			const before = accepted?.document.version;
			if (before !== undefined && document.version <= before) {
				return;
			}

			accepted = {document, routes: createRouteTable(document.routes), workspaceOfKey: indexKeys(document)};
			log.info('Document in force.', {version: document.version, count: document.routes.length});
			for (const listener of documentListeners) {
				listener(accepted);
			}
		},
		endpointsOf: service => byService.get(service) ?? [],
		endpoint: id => endpoints.get(id),
		memoryTokens: id => accepted?.document.services.get(endpoints.get(id)?.service ?? '')?.engine?.memoryTokens,
		acceptEndpoint(endpoint) {
			const known = endpoints.get(endpoint.id);
			if (known !== undefined && !isNewer(endpoint, known)) {
				return;
			}

			endpoints.set(endpoint.id, endpoint);
			regroup(endpoint.service);
			if (known !== undefined && known.service !== endpoint.service) {
				regroup(known.service);
			}

			if (known?.isLeaving !== endpoint.isLeaving || known.startedAt !== endpoint.startedAt) {
				log.info(endpoint.isLeaving ? 'Endpoint is leaving.' : 'Endpoint is live.', {endpoint: endpoint.id, service: endpoint.service});
			}

			tell(endpoint.id, endpoint, known);
		},
		dropEndpoint(id) {
			const known = endpoints.get(id);
			if (known === undefined) {
				return;
			}

			endpoints.delete(id);
			regroup(known.service);
			log.info('Endpoint is gone.', {endpoint: id, service: known.service});
			tell(id, undefined, known);
		},
		endpointIds: () => endpoints.keys(),
		namedWeights(model) {
			const history = named.get(model);
			return history && {
				version: history.at(-1)!.version,
				outdatedMs(version) {
					const next = history.find(item => item.version > version);
					return next === undefined ? 0 : performance.now() - next.learntAt;
				},
			};
		},
		acceptWeights(model, version, unseenMs) {
			const history = named.get(model) ?? [];
			if (version <= (history.at(-1)?.version ?? 0)) {
				return;
			}

			named.set(model, [...history, {version, learntAt: performance.now() - unseenMs, isDated: unseenMs === 0}].slice(-namedKept));
			log.info('New weights were named.', {version});
		},
		datedWeights(model, version, ageMs) {
			const history = named.get(model) ?? [];
			if (version > (history.at(-1)?.version ?? 0)) {
				return;
			}

			const learntAt = performance.now() - ageMs;
			const naming = history.find(item => item.version === version);
			if (naming === undefined) {
				// The store tells only the newest one; engines may be further behind.
				const dated = [...history, {version, learntAt, isDated: true}];
				named.set(model, dated.toSorted((a, b) => a.version - b.version).slice(-namedKept));
				return;
			}

			naming.learntAt = naming.isDated ? Math.min(naming.learntAt, learntAt) : learntAt;
			naming.isDated = true;
		},
		recentWeights(mostMs) {
			const recent: Array<[string, number, number]> = [];
			for (const [model, history] of named) {
				for (const {version, learntAt, isDated} of history) {
					const ageMs = performance.now() - learntAt;
					if (isDated && ageMs <= mostMs) {
						recent.push([model, version, Math.round(ageMs)]);
					}
				}
			}

			return recent;
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
