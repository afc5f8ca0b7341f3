/**
 * Chooses the endpoint with the shortest expected time to the first event, estimated from its
 * queue and the uncached part of the prompt. Rendezvous hashing assigns shared parts to a home
 * engine, which is compared with a random sample of the others.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {createSampler, type SamplerOptions} from './candidate-sample.js';
import {
	type Candidate, type CandidatesOptions, createCandidates,
} from './candidates.js';
import {
	type ChoiceRequest, partKeys, type PromptNeed, scopeOf,
} from './choice-request.js';
import {type EndpointLoad} from './endpoint-load-tracker.js';
import {type StoredParts} from './stored-parts.js';
import {createHomeFinder} from './prompt-home.js';
import {createPromptCostEstimator, type PromptCost} from './prompt-cost.js';
import {type ResidentParts} from './resident-parts.js';

/** The chosen endpoint, with the estimates behind it. */
export type Choice = {
	endpoint: LiveEndpoint;
	/** Weights version that the endpoint is believed to run. */
	weights: number | undefined;
	/** Cache scope: isolation key and weights version. */
	cacheScope: string | undefined;
	/** Prompt tokens that the endpoint is expected to compute. */
	missingTokens: number;
	pendingTokens: number;
	/** Expected milliseconds to the first event. */
	expectedMs: number;
	/** Duration of work at the endpoint that `expectedMs` assumes, relative to the usual. */
	paceRatio: number;
	/** Part of `expectedMs` spent fetching shared parts. */
	fetchMs: number;
	/** IP:PORT of an engine or store to fetch missing shared parts from. */
	fetchFrom: string | undefined;
	/** IP:PORT of the store that saves computed parts. */
	saveTo: string | undefined;
};

/** Options of {@link createEndpointChoice}. */
export type EndpointChoiceOptions = CandidatesOptions & SamplerOptions & {
	/** Contents of the cache store. */
	storedParts: StoredParts;
	/** Contents of the engines' memory. */
	residentParts: ResidentParts;
	dataCentre: string;
};

/** Chooses endpoints and records the choices. */
export type EndpointChoice = {
	/** Returns `undefined` when no endpoint is eligible. */
	choose: (request: ChoiceRequest) => Choice | undefined;
	/** Records that the request was sent, so its shared parts will be cached. */
	placed: (choice: Choice, prompt: PromptNeed) => void;
};

/** Engines that may get a request, and the home of its prompt. */
type Engines = {engines: readonly LiveEndpoint[]; homeId: string | undefined};

/** Penalty for an endpoint in another data centre. */
const crossDataCentreMs = 4;
/** Estimated delay caused by each request in flight. */
const perRunningMs = 1.2;
/** Estimated time for which a request to a service without engines occupies a slot. */
const plainServiceMs = 40;
/** Replaced weights are penalised once they are outdated by more than `staleAfterMs`. */
const staleAfterMs = 1000;
const stalePenaltyMs = 400;
/**
 * Cost of an answer that overruns a planned drain, as a fraction of the overrun. The limit stays below usual
 * target times: a request must not wait at a crowded engine because the others drain soon.
 */
const drainPenaltyRatio = 0.2;
const maxDrainPenaltyMs = 500;
/** Fraction of an engine's memory above which new requests are expected to wait. */
const fullMemoryRatio = 0.85;
/** Estimated wait for memory above that fraction. */
const memoryWaitMs = 400;
/** An engine is presumed hung when a request waits longer than this for its first event. */
const hangAfterMs = 1500;

/** Creates an endpoint choice without placements. */
export function createEndpointChoice(options: EndpointChoiceOptions): EndpointChoice {
	const {view, loadTracker, storedParts, residentParts, paths} = options;
	const candidates = createCandidates(options);
	const costEstimatorFor = createPromptCostEstimator(options);
	const homeOf = createHomeFinder();
	const sample = createSampler(options);

	const distanceMs = (endpoint: LiveEndpoint): number =>
		(endpoint.dataCentre === options.dataCentre ? 0 : crossDataCentreMs) + paths.detourMs(endpoint);

	const hangMs = ({oldestWaitMs}: EndpointLoad): number => Math.max(0, oldestWaitMs - hangAfterMs);

	/** At a slower pace, the additional time of the request itself counts as well. */
	const plainMs = ({endpoint, load}: Candidate): number => {
		const paceRatio = loadTracker.paceRatio(endpoint.id);
		return (Math.max(0, load.running + 1 - endpoint.slots) / endpoint.slots * plainServiceMs * paceRatio)
			+ (load.running / endpoint.slots * plainServiceMs * paceRatio)
			+ ((paceRatio - 1) * plainServiceMs) + distanceMs(endpoint) + hangMs(load);
	};

	const stalenessMs = (prompt: PromptNeed, version: number): number => {
		const named = view.namedWeights(prompt.model);
		return named !== undefined && named.outdatedMs(version) > staleAfterMs ? stalePenaltyMs : 0;
	};

	/** An answer that overruns the engine's planned drain extends it, if no other one does by more. */
	const drainMs = ({drainOverrunMs}: Candidate): number => Math.min(maxDrainPenaltyMs, drainOverrunMs * drainPenaltyRatio);

	/** Fraction of the engine's memory in use if it got this prompt. */
	const memoryRatio = ({endpoint, load}: Candidate, prompt: PromptNeed): number =>
		(load.memoryTokens + prompt.promptTokens + prompt.outputTokens) / (view.memoryTokens(endpoint.id) ?? Number.POSITIVE_INFINITY);

	const canBegin = (candidate: Candidate, prompt: PromptNeed): boolean => {
		const {endpoint, load} = candidate;
		return load.running < endpoint.slots && hangMs(load) === 0 && memoryRatio(candidate, prompt) <= fullMemoryRatio;
	};

	const engineMs = (candidate: Candidate, prompt: PromptNeed, cost: PromptCost): number => {
		const {endpoint, load} = candidate;
		const paceRatio = loadTracker.paceRatio(endpoint.id);
		const usedRatio = memoryRatio(candidate, prompt);
		return (loadTracker.baseMs(endpoint.id) * paceRatio)
			+ ((load.pendingTokens + cost.missingTokens) * loadTracker.msPerToken(endpoint.id) * paceRatio)
			+ cost.fetchMs + cost.evictionMs
			+ (load.running * perRunningMs * paceRatio)
			+ (load.running >= endpoint.slots ? (load.running - endpoint.slots + 1) * perRunningMs * 10 * paceRatio : 0)
			+ (usedRatio > fullMemoryRatio ? memoryWaitMs * usedRatio : 0)
			+ distanceMs(endpoint) + hangMs(load) + stalenessMs(prompt, candidate.weights ?? 0) + drainMs(candidate);
	};

	/** Doubtful engines are drawn only if there are no others. */
	const sampleEngines = (request: ChoiceRequest, prompt: PromptNeed, engines: readonly LiveEndpoint[]): Candidate[] => {
		const doubtful: Candidate[] = [];
		const certainOf = (engine: LiveEndpoint): Candidate | undefined => {
			const candidate = candidates.of(engine, request);
			if (candidate?.isDoubtful !== true) {
				return candidate;
			}

			doubtful.push(candidate);
			return undefined;
		};

		const canBeginNow = (candidate: Candidate): boolean => canBegin(candidate, prompt);
		const drawn = sample(engines, certainOf, canBeginNow);
		return drawn.length > 0 ? drawn : sample(doubtful, candidate => candidate, canBeginNow);
	};

	const sampleWithHome = (request: ChoiceRequest, prompt: PromptNeed, {engines, homeId}: Engines): Candidate[] => {
		const drawn = sampleEngines(request, prompt, engines);
		const homeEngine = homeId === undefined || drawn.some(({endpoint}) => endpoint.id === homeId) ? undefined : view.endpoint(homeId);
		const home = homeEngine && candidates.of(homeEngine, request);
		return home === undefined || home.isDoubtful ? drawn : [...drawn, home];
	};

	const chooseEngine = (request: ChoiceRequest, prompt: PromptNeed): Choice | undefined => {
		const engines = candidates.endpointsFor(request);
		const homeId = homeOf(prompt, engines);
		const costOf = costEstimatorFor(request, prompt, homeId);
		let best: Choice | undefined;
		for (const candidate of sampleWithHome(request, prompt, {engines, homeId})) {
			const {endpoint, weights, load} = candidate;
			const cost = costOf(candidate);
			const expectedMs = engineMs(candidate, prompt, cost);
			if (best === undefined || expectedMs < best.expectedMs) {
				best = {
					endpoint,
					weights,
					cacheScope: scopeOf(prompt, weights),
					missingTokens: cost.missingTokens,
					pendingTokens: load.pendingTokens,
					expectedMs,
					paceRatio: loadTracker.paceRatio(endpoint.id),
					fetchMs: cost.fetchMs,
					fetchFrom: cost.fetchFrom,
					saveTo: cost.saveTo,
				};
			}
		}

		return best;
	};

	const choosePlain = (request: ChoiceRequest): Choice | undefined => {
		let best: Choice | undefined;
		for (const candidate of candidates.all(request)) {
			const expectedMs = plainMs(candidate);
			if (best === undefined || expectedMs < best.expectedMs) {
				best = {
					endpoint: candidate.endpoint,
					weights: undefined,
					cacheScope: undefined,
					missingTokens: 0,
					pendingTokens: 0,
					expectedMs,
					paceRatio: loadTracker.paceRatio(candidate.endpoint.id),
					fetchMs: 0,
					fetchFrom: undefined,
					saveTo: undefined,
				};
			}
		}

		return best;
	};

	return {
		choose(request) {
			return request.prompt === undefined ? choosePlain(request) : chooseEngine(request, request.prompt);
		},
		placed({endpoint, weights, saveTo}, prompt) {
			if (saveTo !== undefined) {
				storedParts.saved(partKeys(prompt, weights));
			}

			residentParts.sent({id: endpoint.id, weights}, prompt);
		},
	};
}
