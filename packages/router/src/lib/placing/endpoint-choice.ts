/**
 * Chooses the endpoint with the shortest expected time to the first event, from its queue
 * and the uncached part of the prompt. Rendezvous hashing gives shared parts a home engine,
 * which competes with a sample of the others.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {createSampler, type SamplerOptions} from './candidate-sample.js';
import {type Candidate, type CandidatesOptions, createCandidates} from './candidates.js';
import {
	type ChoiceRequest, partKeys, type PromptNeed, scopeOf,
} from './choice-request.js';
import {type EndpointLoad} from './endpoint-book.js';
import {type KeptParts} from './kept-parts.js';
import {createHomeFinder} from './prompt-home.js';
import {createPromptReader, type Reading} from './prompt-reading.js';
import {type ResidentParts} from './resident-parts.js';

/** The chosen endpoint, with the estimates behind it. */
export type Choice = {
	endpoint: LiveEndpoint;
	/** Weights version that the endpoint is believed to run. */
	weights: number | undefined;
	/** Scope of its cached parts. */
	cacheScope: string | undefined;
	/** Prompt tokens that it is expected to compute. */
	missingTokens: number;
	pendingTokens: number;
	/** Expected milliseconds to the first event. */
	expectedMs: number;
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
	kept: KeptParts;
	/** Contents of the engines' memory. */
	resident: ResidentParts;
	dataCentre: string;
};

/** The chooser. */
export type EndpointChoice = {
	/** Returns `undefined` when no endpoint is eligible. */
	choose: (request: ChoiceRequest) => Choice | undefined;
	/** The request was sent, so its shared parts will be cached. */
	placed: (choice: Choice, prompt: PromptNeed) => void;
};

/** Penalty for the traffic between data centres. */
const crossDataCentreMs = 4;
/** Slowdown by each request in flight. */
const perRunningMs = 1.2;
/** Estimated time for which a plain service's request occupies a slot. */
const plainServiceMs = 40;
/** Staleness from which old weights get a penalty, and the penalty. */
const staleAfterMs = 1000;
const stalePenaltyMs = 400;
/** Fraction of an engine's memory above which it counts as full. */
const fullMemoryRatio = 0.85;
/** Estimated wait for memory at a full engine. */
const memoryWaitMs = 400;
/** Wait for a first event beyond which an engine is presumed hung. */
const hangAfterMs = 1500;

/** Creates a chooser. */
export function createEndpointChoice(options: EndpointChoiceOptions): EndpointChoice {
	const {view, book, kept, resident} = options;
	const candidatesOf = createCandidates(options);
	const read = createPromptReader(options);
	const homeOf = createHomeFinder();
	const sample = createSampler(options);

	const distanceMs = (endpoint: LiveEndpoint): number => endpoint.dataCentre === options.dataCentre ? 0 : crossDataCentreMs;

	const hangMs = ({oldestWaitMs}: EndpointLoad): number => Math.max(0, oldestWaitMs - hangAfterMs);

	const plainMs = ({endpoint, load}: Candidate): number =>
		(Math.max(0, load.running + 1 - endpoint.slots) / endpoint.slots * plainServiceMs)
		+ (load.running / endpoint.slots * plainServiceMs) + distanceMs(endpoint) + hangMs(load);

	const stalenessMs = (prompt: PromptNeed, version: number): number => {
		const named = view.namedWeights(prompt.model);
		return named !== undefined && named.outdatedMs(version) > staleAfterMs ? stalePenaltyMs : 0;
	};

	/** Fraction of the engine's memory that would be in use. */
	const memoryRatio = ({endpoint, load}: Candidate, prompt: PromptNeed): number =>
		(load.memoryTokens + prompt.promptTokens + prompt.outputTokens) / (view.memoryTokens(endpoint.id) ?? Number.POSITIVE_INFINITY);

	const canBegin = (candidate: Candidate, prompt: PromptNeed): boolean => {
		const {endpoint, load} = candidate;
		return load.running < endpoint.slots && hangMs(load) === 0 && memoryRatio(candidate, prompt) <= fullMemoryRatio;
	};

	const engineMs = (candidate: Candidate, prompt: PromptNeed, reading: Reading): number => {
		const {endpoint, load} = candidate;
		const msPerToken = book.msPerToken(endpoint.id);
		const usedRatio = memoryRatio(candidate, prompt);
		return book.baseMs(endpoint.id) + ((load.pendingTokens + reading.missingTokens) * msPerToken)
			+ reading.fetchMs + reading.strayMs
			+ (load.running * perRunningMs)
			+ (load.running >= endpoint.slots ? (load.running - endpoint.slots + 1) * perRunningMs * 10 : 0)
			+ (usedRatio > fullMemoryRatio ? memoryWaitMs * usedRatio : 0)
			+ distanceMs(endpoint) + hangMs(load) + stalenessMs(prompt, candidate.weights ?? 0);
	};

	const sampleWithHome = (request: ChoiceRequest, prompt: PromptNeed, candidates: readonly Candidate[]): Candidate[] => {
		const drawn = sample(candidates, candidate => canBegin(candidate, prompt));
		const homeId = homeOf(prompt, view.endpointsOf(request.service));
		const home = candidates.find(({endpoint}) => endpoint.id === homeId);
		return home === undefined || drawn.includes(home) ? drawn : [...drawn, home];
	};

	const chooseEngine = (request: ChoiceRequest, prompt: PromptNeed, candidates: readonly Candidate[]): Choice | undefined => {
		const readingOf = read(request, prompt);
		let best: Choice | undefined;
		for (const candidate of sampleWithHome(request, prompt, candidates)) {
			const {endpoint, weights, load} = candidate;
			const reading = readingOf(candidate);
			const expectedMs = engineMs(candidate, prompt, reading);
			if (best === undefined || expectedMs < best.expectedMs) {
				best = {
					endpoint,
					weights,
					cacheScope: scopeOf(prompt, weights),
					missingTokens: reading.missingTokens,
					pendingTokens: load.pendingTokens,
					expectedMs,
					fetchMs: reading.fetchMs,
					fetchFrom: reading.fetchFrom,
					saveTo: reading.saveTo,
				};
			}
		}

		return best;
	};

	const choosePlain = (candidates: readonly Candidate[]): Choice | undefined => {
		let best: Choice | undefined;
		for (const candidate of candidates) {
			const expectedMs = plainMs(candidate);
			if (best === undefined || expectedMs < best.expectedMs) {
				best = {
					endpoint: candidate.endpoint, weights: undefined, cacheScope: undefined, missingTokens: 0, pendingTokens: 0, expectedMs, fetchMs: 0, fetchFrom: undefined, saveTo: undefined,
				};
			}
		}

		return best;
	};

	return {
		choose(request) {
			const candidates = candidatesOf(request);
			return request.prompt === undefined ? choosePlain(candidates) : chooseEngine(request, request.prompt, candidates);
		},
		placed({endpoint, weights, saveTo}, prompt) {
			if (saveTo !== undefined) {
				kept.saved(partKeys(prompt, weights));
			}

			resident.sent({id: endpoint.id, weights}, prompt);
		},
	};
}
