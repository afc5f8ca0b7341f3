/** Which endpoints may take a request at all. */
import {type EndpointPresence} from '../fleet/endpoint-presence.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type HealthTracker} from '../routing/health.js';
import {type EngineVersions} from '../weights/engine-versions.js';
import {type ChoiceRequest, type PromptNeed} from './choice-request.js';
import {type EndpointBook, type EndpointLoad} from './endpoint-book.js';

/** Options of {@link createCandidates}; durations in milliseconds. */
export type CandidatesOptions = {
	view: FleetView;
	book: EndpointBook;
	health: HealthTracker;
	presence: EndpointPresence;
	versions: EngineVersions;
	/** Part of the connections that an endpoint accepts which this daemon may use. */
	connectionShare: () => number;
	/** Requests must begin on weights that were named this long ago. */
	weightsMs: number;
};

/** An endpoint that may take the request, with what was looked up of it. */
export type Candidate = {
	endpoint: LiveEndpoint;
	load: EndpointLoad;
	/** Weights that an engine is thought to run. */
	weights: number | undefined;
	/** Milliseconds by which the answer would outlast the time until the engine is to be emptied; 0 when it ends before. */
	outlastsMs: number;
};

/** Part of the time after which no request may begin on old weights; the rest is for the way there and waiting. */
const oldWeightsEndShare = 0.8;

/**
 * Milliseconds by which an answer may outlast the turn of its engine to change
 * weights. An engine that waits for its runs to end serves nobody meanwhile: with
 * answers of 1 to 4 s it was away for 2 to 4 s for a load of 1.3 s.
 */
const bearableMs = 300;

/** Connections to an endpoint that each daemon may use, however many daemons there are. */
const leastConnections = 4;

/** Creates a look-up of candidates; doubtful endpoints are among them only when there are no others. */
export function createCandidates(options: CandidatesOptions): (request: ChoiceRequest) => Candidate[] {
	const {view, book, health, presence, versions} = options;

	/**
	 * A process that has just started can't know when weights were named, and
	 * keeps to the engines that are furthest.
	 */
	const furthestVersion = (model: string): number => {
		let furthest = 0;
		for (const id of view.endpointIds()) {
			const endpoint = view.endpoint(id)!;
			if (endpoint.weights.has(model)) {
				furthest = Math.max(furthest, versions.of(endpoint, model).version);
			}
		}

		return furthest;
	};

	const weightsAllowed = (prompt: PromptNeed, version: number): boolean => {
		const named = view.namedWeights(prompt.model);
		if (named === undefined) {
			return true;
		}

		const outdatedMs = named.outdatedMs(version);
		return outdatedMs === Number.POSITIVE_INFINITY ? version >= furthestVersion(prompt.model) : outdatedMs < options.weightsMs * oldWeightsEndShare;
	};

	/** Engines that the answer keeps from their turn least: none of them, or those that come last. */
	const withLeastWait = (candidates: readonly Candidate[]): Candidate[] => {
		const leastMs = Math.min(...candidates.map(({outlastsMs}) => outlastsMs));
		return candidates.filter(({outlastsMs}) => outlastsMs === 0 || outlastsMs <= leastMs + bearableMs);
	};

	/**
	 * An endpoint resets connections beyond what it accepts from all daemons, and
	 * what was sent on one that is reset may have run; so each keeps to its part.
	 */
	const mostOwn = ({service}: LiveEndpoint): number => {
		const most = view.current()?.document.services.get(service)?.mostConnections ?? Number.POSITIVE_INFINITY;
		return Math.max(leastConnections, Math.floor(most * options.connectionShare()));
	};

	const candidateOf = (endpoint: LiveEndpoint, request: ChoiceRequest): Candidate | undefined => {
		if (endpoint.isLeaving || request.excluded.has(endpoint.id) || presence.hasEnded(endpoint)) {
			return undefined;
		}

		const load = book.load(endpoint);
		if (load.running >= health.roomOf(endpoint.id) || book.ownRunning(endpoint.id) >= mostOwn(endpoint)) {
			return undefined;
		}

		if (request.prompt === undefined) {
			return {
				endpoint, load, weights: undefined, outlastsMs: 0,
			};
		}

		const {version, isChanging, dueInMs} = versions.of(endpoint, request.prompt.model);
		if (isChanging || !weightsAllowed(request.prompt, version)) {
			return undefined;
		}

		return {
			endpoint, load, weights: version, outlastsMs: Math.max(0, book.runMs(request.prompt.outputTokens) - bearableMs - dueInMs),
		};
	};

	return request => {
		const sound: Candidate[] = [];
		const doubtful: Candidate[] = [];
		for (const endpoint of view.endpointsOf(request.service)) {
			const candidate = candidateOf(endpoint, request);
			if (candidate !== undefined) {
				(presence.isDoubtful(endpoint) ? doubtful : sound).push(candidate);
			}
		}

		return sound.length > 0 ? withLeastWait(sound) : doubtful;
	};
}
