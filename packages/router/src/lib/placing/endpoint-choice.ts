/**
 * Chooses the endpoint of a request by the time until its answer begins:
 * what waits there, and what of the prompt has to be computed. The same shared
 * parts go to the same engine as long as it has room, since each daemon works
 * out the same order of engines for them.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type Candidate, type CandidatesOptions, createCandidates} from './candidates.js';
import {
	type ChoiceRequest, leadingTokens, type PromptNeed, scopeOf, sharedPartsOf,
} from './choice-request.js';
import {type EndpointLoad} from './endpoint-book.js';
import {type KeptParts} from './kept-parts.js';
import {createHomeFinder} from './prompt-home.js';
import {createWarmParts} from './warm-parts.js';

/** Where a request goes, and what that rests on. */
export type Choice = {
	endpoint: LiveEndpoint;
	/** Weights that the endpoint is thought to run. */
	weights: number | undefined;
	/** Text under which its cached parts are found. */
	cacheScope: string | undefined;
	/** Prompt tokens that it is thought to have to compute. */
	missingTokens: number;
	pendingTokens: number;
	/** Milliseconds until the answer begins, as expected. */
	expectedMs: number;
	/** IP:PORT of an engine or store to fetch shared parts from, where the chosen engine may lack them. */
	fetchFrom: string | undefined;
	/** IP:PORT of the store that keeps what the engine reads. */
	saveTo: string | undefined;
};

/** Options of {@link createEndpointChoice}. */
export type EndpointChoiceOptions = CandidatesOptions & {
	/** What lies in the cache store. */
	kept: KeptParts;
	dataCentre: string;
};

/** The chooser. */
export type EndpointChoice = {
	/** `undefined` when no endpoint may take the request now. */
	choose: (request: ChoiceRequest) => Choice | undefined;
	/** The request went there: its shared parts will be cached. */
	placed: (choice: Choice, prompt: PromptNeed) => void;
};

/** Time to fetch a part from the store against computing it: 16 to 32 ms for 3,780 tokens that take 100 ms. */
const fetchCost = 0.3;
/** Milliseconds that an endpoint in another data centre counts as slower: it costs bytes between data centres. */
const otherDataCentreMs = 4;
/** Milliseconds that one more request under way slows down those that run. */
const runningMs = 1.2;
/** Milliseconds that a plain service's request holds a slot, before anything is known. */
const plainServiceMs = 40;
/** Named weights are preferred from this age on, in milliseconds, by as much time as given. */
const oldWeightsAfterMs = 1000;
const oldWeightsMs = 400;
/** Part of an engine's memory that running requests may take before it counts as full. */
const fullMemoryShare = 0.85;
/** Milliseconds that a request waits, by experience, for memory that is taken. */
const memoryWaitMs = 400;
/** A first event this much later than expected shows an engine that hangs, in milliseconds. */
const hangingMs = 1500;

/** What one engine has to compute of a prompt, in tokens. */
type Reading = {
	/** Not cached there, with a fetch counted at its part of the time. */
	missingTokens: number;
	/** What its home will fetch later of the parts that are read elsewhere. */
	strayTokens: number;
	/** Shared parts that the store does not have yet. */
	isToBeSaved: boolean;
};

/** What is known of an engine and a prompt before its reading is worked out. */
type ReadingFacts = {
	/** Tokens of all shared parts. */
	sharedTokens: number;
	/** The engine is the prompt's home. */
	isHome: boolean;
	/** There is a cache store. */
	hasStore: boolean;
};

/** Opens a chooser that remembers what it sent where. */
export function createEndpointChoice(options: EndpointChoiceOptions): EndpointChoice {
	const {view, book, kept} = options;
	const candidatesOf = createCandidates(options);
	const homeOf = createHomeFinder();
	const warmParts = createWarmParts();

	const distanceMs = (endpoint: LiveEndpoint): number => endpoint.dataCentre === options.dataCentre ? 0 : otherDataCentreMs;

	const hangMs = ({oldestWaitMs}: EndpointLoad): number => Math.max(0, oldestWaitMs - hangingMs);

	const plainMs = ({endpoint, load}: Candidate): number =>
		(Math.max(0, load.running + 1 - endpoint.slots) / endpoint.slots * plainServiceMs)
		+ (load.running / endpoint.slots * plainServiceMs) + distanceMs(endpoint) + hangMs(load);

	const oldMs = (prompt: PromptNeed, version: number): number => {
		const named = view.namedWeights(prompt.model);
		return named !== undefined && named.outdatedMs(version) > oldWeightsAfterMs ? oldWeightsMs : 0;
	};

	/** Keys of a prompt's shared parts as they lie in the store. */
	const keptKeys = (prompt: PromptNeed, version: number | undefined): string[] => {
		const scope = scopeOf(prompt, version);
		return sharedPartsOf(prompt).map(part => `${scope} ${part.id}`);
	};

	/** Tokens of shared parts that some engine has read under these weights. */
	const knownTokens = (prompt: PromptNeed, version: number | undefined): number => {
		const keys = keptKeys(prompt, version);
		return leadingTokens(prompt, index => kept.isKnown(keys[index]));
	};

	const engineMs = (candidate: Candidate, prompt: PromptNeed, missing: number, memoryTokens: number): number => {
		const {endpoint, load} = candidate;
		const msPerToken = book.msPerToken(endpoint.id);
		const need = load.memoryTokens + prompt.promptTokens + prompt.outputTokens;
		const isFull = need > memoryTokens * fullMemoryShare;
		return ((load.pendingTokens + missing) * msPerToken)
			+ (load.running * runningMs)
			+ (load.running >= endpoint.slots ? (load.running - endpoint.slots + 1) * runningMs * 10 : 0)
			+ (isFull ? memoryWaitMs * need / memoryTokens : 0)
			+ distanceMs(endpoint) + hangMs(load) + oldMs(prompt, candidate.weights ?? 0);
	};

	const nearestStore = (): string | undefined => {
		const stores = view.current()?.document.cacheStores ?? [];
		return (stores.find(store => store.dataCentre === options.dataCentre) ?? stores.at(0))?.address;
	};

	/**
	 * What an engine has to compute of a prompt.
	 *
	 * After a change of weights nobody has the shared parts. Where that was not
	 * seen, nine daemons sent cold prompts to an engine that had just changed, at a
	 * third of what reading them took, and first events came 0.9 s late.
	 */
	const readingOf = ({endpoint, weights}: Candidate, prompt: PromptNeed, {sharedTokens, isHome, hasStore}: ReadingFacts): Reading => {
		const storedTokens = hasStore ? knownTokens(prompt, weights) : sharedTokens;
		const warmTokens = warmParts.tokens(endpoint, weights, prompt);
		const availableTokens = Math.max(warmTokens, storedTokens);
		const ownTokens = isHome ? availableTokens : warmTokens;
		const fetchedTokens = hasStore ? availableTokens - ownTokens : 0;
		return {
			missingTokens: Math.max(0, prompt.promptTokens - ownTokens - (fetchedTokens * (1 - fetchCost))),
			strayTokens: isHome ? 0 : (sharedTokens - availableTokens) * fetchCost,
			isToBeSaved: storedTokens < sharedTokens,
		};
	};

	const chooseEngine = (request: ChoiceRequest, prompt: PromptNeed, candidates: readonly Candidate[]): Choice | undefined => {
		const home = homeOf(prompt, view.endpointsOf(request.service));
		const memoryTokens = view.current()?.document.services.get(request.service)?.engine?.memoryTokens ?? Number.POSITIVE_INFINITY;
		const store = nearestStore();
		const sharedTokens = sharedPartsOf(prompt).reduce((sum, part) => sum + part.tokens, 0);
		let best: Choice | undefined;
		for (const candidate of candidates) {
			const {endpoint, weights, load} = candidate;
			const reading = readingOf(candidate, prompt, {sharedTokens, isHome: endpoint.id === home, hasStore: store !== undefined});
			const expectedMs = engineMs(candidate, prompt, reading.missingTokens + reading.strayTokens, memoryTokens);
			if (best === undefined || expectedMs < best.expectedMs) {
				best = {
					endpoint,
					weights,
					cacheScope: scopeOf(prompt, weights),
					missingTokens: reading.missingTokens,
					pendingTokens: load.pendingTokens,
					expectedMs,
					// Asking the store costs a millisecond where the engine has the parts after all.
					fetchFrom: sharedTokens > 0 ? store : undefined,
					saveTo: reading.isToBeSaved ? store : undefined,
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
					endpoint: candidate.endpoint, weights: undefined, cacheScope: undefined, missingTokens: 0, pendingTokens: 0, expectedMs, fetchFrom: undefined, saveTo: undefined,
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
				kept.saved(keptKeys(prompt, weights));
			}

			warmParts.sent(endpoint, weights, prompt);
		},
	};
}
