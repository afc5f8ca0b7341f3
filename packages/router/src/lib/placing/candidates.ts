/** Selects the endpoints that are eligible for a request. */
import {type EndpointPresence} from '../fleet/endpoint-presence.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type EndpointPaths} from '../paths/endpoint-paths.js';
import {type UnprovenVersions} from '../releases/unproven-versions.js';
import {type HealthTracker} from '../routing/health.js';
import {type EngineVersions} from '../weights/engine-versions.js';
import {type WeightsDeadlines} from '../weights/weights-deadlines.js';
import {type ChoiceRequest} from './choice-request.js';
import {type BrittleEndpoints} from './brittle-endpoints.js';
import {type EndpointBackoff} from './endpoint-backoff.js';
import {type EndpointLoadTracker, type EndpointLoad} from './endpoint-load-tracker.js';
import {type EndpointLimits} from './endpoint-limits.js';

/** Options of {@link createCandidates}. */
export type CandidatesOptions = {
	view: FleetView;
	loadTracker: EndpointLoadTracker;
	health: HealthTracker;
	presence: EndpointPresence;
	versions: EngineVersions;
	limits: EndpointLimits;
	backoff: EndpointBackoff;
	brittle: BrittleEndpoints;
	paths: EndpointPaths;
	/** Leaves out the endpoints of software versions that haven't proved themselves. */
	releases: UnprovenVersions;
	/** Fraction of an endpoint's connection limit that this daemon may use. */
	connectionShare: (endpoint: LiveEndpoint) => number;
	weightsDeadlines: WeightsDeadlines;
};

/** An eligible endpoint and its state at the time of the choice. */
export type Candidate = {
	endpoint: LiveEndpoint;
	load: EndpointLoad;
	/** Weights version that an engine is believed to run. */
	weights: number | undefined;
	/** Milliseconds by which the answer would overrun the engine's planned drain; 0 if it fits. */
	drainOverrunMs: number;
	/** It may have ended, or run other weights, so it gets requests only when there is no other. */
	isDoubtful: boolean;
};

/** Looks up candidates. */
export type Candidates = {
	/** The state of one endpoint; `undefined` unless it is eligible. */
	of: (endpoint: LiveEndpoint, request: ChoiceRequest) => Candidate | undefined;
	/** All that the request may go to. Doubtful endpoints are returned only when there are no others. */
	all: (request: ChoiceRequest) => readonly Candidate[];
	/** Endpoints of the request's service, including leaving ones, of the software versions that may get it. */
	endpointsFor: (request: ChoiceRequest) => readonly LiveEndpoint[];
};

/**
 * Tolerated overrun of a planned drain. A draining engine accepts no requests, so a long overrun
 * reduces capacity.
 */
const maxOverrunMs = 300;

/** Lower bound on connections per endpoint, regardless of the number of daemons. */
const minConnections = 4;

/** Whether the candidate neither drains before the end of the answer nor may have ended. */
export const isPreferred = ({drainOverrunMs, isDoubtful}: Candidate): boolean => !isDoubtful && drainOverrunMs <= maxOverrunMs;

/** Creates a look-up of candidates. */
export function createCandidates(options: CandidatesOptions): Candidates {
	const {
		view, loadTracker, health, presence, versions, limits, backoff, brittle, paths, releases,
	} = options;

	/** Expected wait in the engine's queue; at least as long as the oldest own request has waited. */
	const queueMs = ({id, slots}: LiveEndpoint, load: EndpointLoad): number =>
		Math.max(load.oldestWaitMs, load.pendingTokens * loadTracker.msPerToken(id) * Math.max(1, loadTracker.paceRatio(id)), load.running >= slots ? load.remainingMs : 0);

	/**
	 * Connections that this daemon may open. Endpoints reset connections above their limit, and
	 * requests on those may have run, so the daemons divide the limit between them.
	 */
	const maxOwnConnections = (endpoint: LiveEndpoint): number =>
		Math.max(minConnections, Math.floor(view.maxConnections(endpoint.service) * options.connectionShare(endpoint)));

	const candidateOf = (endpoint: LiveEndpoint, request: ChoiceRequest): Candidate | undefined => {
		if (endpoint.isLeaving || request.excluded.has(endpoint.id) || presence.hasEnded(endpoint) || paths.isUnreachable(endpoint) || !limits.canSend(endpoint)) {
			return undefined;
		}

		const load = loadTracker.load(endpoint);
		const own = loadTracker.ownRunning(endpoint.id);
		if (load.running >= Math.min(health.roomOf(endpoint.id), backoff.roomOf(endpoint)) || own >= maxOwnConnections(endpoint)) {
			return undefined;
		}

		if (!brittle.hasRoom(endpoint)) {
			return undefined;
		}

		if (request.prompt === undefined) {
			return {
				endpoint, load, weights: undefined, drainOverrunMs: 0, isDoubtful: presence.isDoubtful(endpoint),
			};
		}

		const {model, outputTokens} = request.prompt;
		const {
			version, isChanging, isUncertain, dueInMs,
		} = versions.of(endpoint, model);
		if (isChanging || !options.weightsDeadlines.maySend({model, weights: version}, queueMs(endpoint, load))) {
			return undefined;
		}

		return {
			endpoint,
			load,
			weights: version,
			drainOverrunMs: Math.max(0, loadTracker.runMs(outputTokens) - maxOverrunMs - dueInMs),
			isDoubtful: isUncertain || presence.isDoubtful(endpoint),
		};
	};

	/** A stream that began on an unproven version may go on there, since it can go on nowhere else. */
	const endpointsFor = ({service, software}: ChoiceRequest): readonly LiveEndpoint[] =>
		software === undefined ? releases.endpointsOf(service) : view.endpointsOf(service).filter(endpoint => endpoint.software === software);

	return {
		of: candidateOf,
		endpointsFor,
		all(request) {
			const candidates: Candidate[] = [];
			for (const endpoint of endpointsFor(request)) {
				const candidate = candidateOf(endpoint, request);
				if (candidate !== undefined) {
					candidates.push(candidate);
				}
			}

			const certain = candidates.filter(({isDoubtful}) => !isDoubtful);
			return certain.length > 0 ? certain : candidates;
		},
	};
}
