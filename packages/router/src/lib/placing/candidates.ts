/** Selects the endpoints that are eligible for a request. */
import {type EndpointPresence} from '../fleet/endpoint-presence.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type UnprovenVersions} from '../releases/unproven-versions.js';
import {type HealthTracker} from '../routing/health.js';
import {type EngineVersions} from '../weights/engine-versions.js';
import {type ChoiceRequest, type PromptNeed} from './choice-request.js';
import {type EndpointLoadTracker, type EndpointLoad} from './endpoint-load-tracker.js';
import {type EndpointLimits} from './endpoint-limits.js';

/** Options of {@link createCandidates}; durations in milliseconds. */
export type CandidatesOptions = {
	view: FleetView;
	loadTracker: EndpointLoadTracker;
	health: HealthTracker;
	presence: EndpointPresence;
	versions: EngineVersions;
	limits: EndpointLimits;
	/** Leaves out the endpoints of software versions that haven't proved themselves. */
	releases: UnprovenVersions;
	/** Fraction of an endpoint's connection limit that this daemon may use. */
	connectionShare: () => number;
	/** Maximum time since replacement of the weights on which a request may begin. */
	weightsMs: number;
};

/** An eligible endpoint and its state at the time of the choice. */
export type Candidate = {
	endpoint: LiveEndpoint;
	load: EndpointLoad;
	/** Weights version that an engine is believed to run. */
	weights: number | undefined;
	/** Milliseconds by which the answer would overrun the engine's planned drain; 0 if it fits. */
	drainOverrunMs: number;
};

/**
 * Fraction of `weightsMs` after which no request is sent to replaced weights. The rest allows
 * for transit and queueing.
 */
const maxWeightsAgeRatio = 0.8;

/**
 * Tolerated overrun of a planned drain. A draining engine accepts no requests, so a long overrun
 * reduces capacity.
 */
const maxOverrunMs = 300;

/** Lower bound on connections per endpoint, regardless of the number of daemons. */
const minConnections = 4;

/** Creates a look-up of candidates. Doubtful endpoints are returned only when there are no others. */
export function createCandidates(options: CandidatesOptions): (request: ChoiceRequest) => Candidate[] {
	const {
		view, loadTracker, health, presence, versions, limits, releases,
	} = options;

	/** Expected wait in the engine's queue; at least as long as the oldest own request has waited. */
	const queueMs = ({id, slots}: LiveEndpoint, load: EndpointLoad): number =>
		Math.max(load.oldestWaitMs, load.pendingTokens * loadTracker.msPerToken(id), load.running >= slots ? load.remainingMs : 0);

	/**
	 * Whether the weights will still be fresh enough when the request begins after `waitMs`.
	 * Weights of unknown age are not: they may have been replaced before this process started.
	 */
	const isFreshEnough = ({model}: PromptNeed, version: number, waitMs: number): boolean => {
		const outdatedMs = view.namedWeights(model)?.outdatedMs(version) ?? 0;
		return outdatedMs === 0 || outdatedMs + waitMs < options.weightsMs * maxWeightsAgeRatio;
	};

	/** Engines whose planned drain the answer would not overrun, and those within `maxOverrunMs` of the least overrun. */
	const withLeastOverrun = (candidates: readonly Candidate[]): Candidate[] => {
		const leastMs = Math.min(...candidates.map(({drainOverrunMs}) => drainOverrunMs));
		return candidates.filter(({drainOverrunMs}) => drainOverrunMs === 0 || drainOverrunMs <= leastMs + maxOverrunMs);
	};

	/**
	 * Connections that this daemon may open. Endpoints reset connections above their limit, and
	 * requests on those may have run, so the daemons divide the limit between them.
	 */
	const maxOwnConnections = ({service}: LiveEndpoint): number => {
		const connectionLimit = view.current()?.document.services.get(service)?.maxConnections ?? Number.POSITIVE_INFINITY;
		return Math.max(minConnections, Math.floor(connectionLimit * options.connectionShare()));
	};

	const candidateOf = (endpoint: LiveEndpoint, request: ChoiceRequest): Candidate | undefined => {
		if (endpoint.isLeaving || request.excluded.has(endpoint.id) || presence.hasEnded(endpoint) || !limits.canSend(endpoint)) {
			return undefined;
		}

		const load = loadTracker.load(endpoint);
		if (load.running >= health.roomOf(endpoint.id) || loadTracker.ownRunning(endpoint.id) >= maxOwnConnections(endpoint)) {
			return undefined;
		}

		if (request.prompt === undefined) {
			return {
				endpoint, load, weights: undefined, drainOverrunMs: 0,
			};
		}

		const {version, isChanging, dueInMs} = versions.of(endpoint, request.prompt.model);
		if (isChanging || !isFreshEnough(request.prompt, version, queueMs(endpoint, load))) {
			return undefined;
		}

		return {
			endpoint, load, weights: version, drainOverrunMs: Math.max(0, loadTracker.runMs(request.prompt.outputTokens) - maxOverrunMs - dueInMs),
		};
	};

	return request => {
		const preferred: Candidate[] = [];
		const doubtful: Candidate[] = [];
		for (const endpoint of releases.endpointsOf(request.service)) {
			const candidate = candidateOf(endpoint, request);
			if (candidate !== undefined) {
				(presence.isDoubtful(endpoint) ? doubtful : preferred).push(candidate);
			}
		}

		return preferred.length > 0 ? withLeastOverrun(preferred) : doubtful;
	};
}
