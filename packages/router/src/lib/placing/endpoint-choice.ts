/**
 * Chooses the endpoint of a request by the time until its answer begins:
 * what waits there, and what of the prompt has to be computed. The same shared
 * parts go to the same engine as long as it has room, since each daemon works
 * out the same order of engines for them.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type Candidate, type CandidatesOptions, createCandidates} from './candidates.js';
import {
	type ChoiceRequest, partKeys, type PromptNeed, scopeOf,
} from './choice-request.js';
import {type EndpointLoad} from './endpoint-book.js';
import {type KeptParts} from './kept-parts.js';
import {createPromptReader, type Reading} from './prompt-reading.js';
import {type ResidentParts} from './resident-parts.js';

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
	/** Part of them that goes into fetching shared parts. */
	fetchMs: number;
	/** IP:PORT of an engine or store to fetch shared parts from, where the chosen engine may lack them. */
	fetchFrom: string | undefined;
	/** IP:PORT of the store that keeps what the engine reads. */
	saveTo: string | undefined;
};

/** Options of {@link createEndpointChoice}. */
export type EndpointChoiceOptions = CandidatesOptions & {
	/** What lies in the cache store. */
	kept: KeptParts;
	/** What lies in engines' memory. */
	resident: ResidentParts;
	dataCentre: string;
};

/** The chooser. */
export type EndpointChoice = {
	/** `undefined` when no endpoint may take the request now. */
	choose: (request: ChoiceRequest) => Choice | undefined;
	/** The request went there: its shared parts will be cached. */
	placed: (choice: Choice, prompt: PromptNeed) => void;
};

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

/** Opens a chooser that remembers what it sent where. */
export function createEndpointChoice(options: EndpointChoiceOptions): EndpointChoice {
	const {view, book, kept, resident} = options;
	const candidatesOf = createCandidates(options);
	const read = createPromptReader(options);

	const distanceMs = (endpoint: LiveEndpoint): number => endpoint.dataCentre === options.dataCentre ? 0 : otherDataCentreMs;

	const hangMs = ({oldestWaitMs}: EndpointLoad): number => Math.max(0, oldestWaitMs - hangingMs);

	const plainMs = ({endpoint, load}: Candidate): number =>
		(Math.max(0, load.running + 1 - endpoint.slots) / endpoint.slots * plainServiceMs)
		+ (load.running / endpoint.slots * plainServiceMs) + distanceMs(endpoint) + hangMs(load);

	const oldMs = (prompt: PromptNeed, version: number): number => {
		const named = view.namedWeights(prompt.model);
		return named !== undefined && named.outdatedMs(version) > oldWeightsAfterMs ? oldWeightsMs : 0;
	};

	const engineMs = (candidate: Candidate, prompt: PromptNeed, reading: Reading): number => {
		const {endpoint, load} = candidate;
		const msPerToken = book.msPerToken(endpoint.id);
		const memoryTokens = view.memoryTokens(endpoint.id) ?? Number.POSITIVE_INFINITY;
		const need = load.memoryTokens + prompt.promptTokens + prompt.outputTokens;
		const isFull = need > memoryTokens * fullMemoryShare;
		return book.baseMs(endpoint.id) + ((load.pendingTokens + reading.missingTokens) * msPerToken)
			+ reading.fetchMs + reading.strayMs
			+ (load.running * runningMs)
			+ (load.running >= endpoint.slots ? (load.running - endpoint.slots + 1) * runningMs * 10 : 0)
			+ (isFull ? memoryWaitMs * need / memoryTokens : 0)
			+ distanceMs(endpoint) + hangMs(load) + oldMs(prompt, candidate.weights ?? 0);
	};

	const chooseEngine = (request: ChoiceRequest, prompt: PromptNeed, candidates: readonly Candidate[]): Choice | undefined => {
		const readingOf = read(request, prompt);
		let best: Choice | undefined;
		for (const candidate of candidates) {
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
