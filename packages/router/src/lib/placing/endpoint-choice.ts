/**
 * Chooses the endpoint of a request by the time until its answer begins:
 * what waits there, and what of the prompt has to be computed. The same shared
 * parts go to the same engine as long as it has room, since each daemon works
 * out the same order of engines for them.
 */
import {type PromptPart} from '../fleet/call-headers.js';
import {type EndpointPresence} from '../fleet/endpoint-presence.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type HealthTracker} from '../routing/health.js';
import {halvesOf, rankOf, seedOfName} from '../routing/rendezvous.js';
import {type EngineVersions} from '../weights/engine-versions.js';
import {type EndpointBook, type EndpointLoad} from './endpoint-book.js';
import {type KeptParts} from './kept-parts.js';

/** A request that is to be placed. */
export type ChoiceRequest = {
	service: string;
	/** Set for a request to a model engine. */
	prompt: PromptNeed | undefined;
	/** Endpoints that have had this request already. */
	excluded: ReadonlySet<string>;
};

/** What a request to a model engine asks for. */
export type PromptNeed = {
	model: string;
	/** From the shallowest to the deepest; the last one is the request's own. */
	parts: readonly PromptPart[];
	promptTokens: number;
	outputTokens: number;
	/** Text that isolates cached parts of this workspace from others. */
	wall: string;
};

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

/** Options of {@link createEndpointChoice}; durations in milliseconds. */
export type EndpointChoiceOptions = {
	view: FleetView;
	book: EndpointBook;
	health: HealthTracker;
	presence: EndpointPresence;
	versions: EngineVersions;
	/** What lies in the cache store. */
	kept: KeptParts;
	dataCentre: string;
	/** Part of the connections that an endpoint accepts which this daemon may use. */
	connectionShare: () => number;
	/** Requests must begin on weights that were named this long ago. */
	weightsMs: number;
};

/** The chooser. */
export type EndpointChoice = {
	/** `undefined` when no endpoint may take the request now. */
	choose: (request: ChoiceRequest) => Choice | undefined;
	/** The request went there: its shared parts will be cached. */
	placed: (choice: Choice, prompt: PromptNeed) => void;
};

/** Time for which a part that this daemon sent somewhere is thought to stay cached, in milliseconds; engines evict what is used least. */
const warmMs = 8000;
/** Time to fetch a part from the store against computing it: 16 to 32 ms for 3,780 tokens that take 100 ms. */
const fetchCost = 0.3;
/** Engines in the computed order that count as having a prompt's shared parts. */
const homes = 1;
/** Milliseconds that an endpoint in another data centre counts as slower: it costs bytes between data centres. */
const otherDataCentreMs = 4;
/** Milliseconds that one more request under way slows down those that run. */
const runningMs = 1.2;
/** Milliseconds that a plain service's request holds a slot, before anything is known. */
const plainServiceMs = 40;
/** Named weights are preferred from this age on, in milliseconds, by as much time as given. */
const oldWeightsAfterMs = 1000;
const oldWeightsMs = 400;
/** Part of the time after which no request may begin on old weights; the rest is for the way there and waiting. */
const oldWeightsEndShare = 0.8;
/** Part of an engine's memory that running requests may take before it counts as full. */
const fullMemoryShare = 0.85;
/** Milliseconds that a request waits, by experience, for memory that is taken. */
const memoryWaitMs = 400;
/** A first event this much later than expected shows an engine that hangs, in milliseconds. */
const hangingMs = 1500;

/** Connections to an endpoint that each daemon may use, however many daemons there are. */
const leastConnections = 4;

type Candidate = {endpoint: LiveEndpoint; load: EndpointLoad; weights: number | undefined};

/** 64-bit FNV-1a of a part's id with all that makes its cached copy distinct. */
function hashOf(text: string): bigint {
	let hash = 0xCB_F2_9C_E4_84_22_23_25n;
	for (let index = 0; index < text.length; index++) {
		hash = BigInt.asUintN(64, (hash ^ BigInt(text.codePointAt(index)!)) * 0x1_00_00_00_01_B3n); // eslint-disable-line no-bitwise
	}

	return hash;
}

/** Opens a chooser that remembers what it sent where. */
export function createEndpointChoice(options: EndpointChoiceOptions): EndpointChoice {
	const {view, book, health, presence, versions, kept} = options;
	const warmParts = new Map<string, number>();
	const seeds = new Map<string, number>();

	const seedOf = (id: string): number => {
		let seed = seeds.get(id);
		if (seed === undefined) {
			seed = seedOfName(id);
			seeds.set(id, seed);
		}

		return seed;
	};

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
			return {endpoint, load, weights: undefined};
		}

		const {version, isChanging} = versions.of(endpoint, request.prompt.model);
		return isChanging || !weightsAllowed(request.prompt, version) ? undefined : {endpoint, load, weights: version};
	};

	const distanceMs = (endpoint: LiveEndpoint): number => endpoint.dataCentre === options.dataCentre ? 0 : otherDataCentreMs;

	const hangMs = ({oldestWaitMs}: EndpointLoad): number => Math.max(0, oldestWaitMs - hangingMs);

	const plainMs = ({endpoint, load}: Candidate): number =>
		(Math.max(0, load.running + 1 - endpoint.slots) / endpoint.slots * plainServiceMs)
		+ (load.running / endpoint.slots * plainServiceMs) + distanceMs(endpoint) + hangMs(load);

	const oldMs = (prompt: PromptNeed, version: number): number => {
		const named = view.namedWeights(prompt.model);
		return named !== undefined && named.outdatedMs(version) > oldWeightsAfterMs ? oldWeightsMs : 0;
	};

	const scopeOf = (prompt: PromptNeed, version: number | undefined): string => `${prompt.wall}:${version ?? 0}`;

	/** Keys of a prompt's shared parts as they lie in the store. */
	const keptKeys = (prompt: PromptNeed, version: number | undefined): string[] => {
		const scope = scopeOf(prompt, version);
		return prompt.parts.slice(0, -1).map(part => `${scope} ${part.id}`);
	};

	/** Tokens of shared parts that some engine has read under these weights. */
	const knownTokens = (prompt: PromptNeed, keys: readonly string[]): number => {
		let tokens = 0;
		for (const [index, key] of keys.entries()) {
			if (!kept.isKnown(key)) {
				break;
			}

			tokens += prompt.parts[index].tokens;
		}

		return tokens;
	};

	const partKey = (id: string, scope: string, part: PromptPart): string => `${id} ${scope} ${part.id}`;

	/** Tokens of shared parts that this daemon has sent there itself. */
	const warmTokens = (candidate: Candidate, prompt: PromptNeed, now: number): number => {
		const scope = scopeOf(prompt, candidate.weights);
		let tokens = 0;
		for (const part of prompt.parts.slice(0, -1)) {
			const usedAt = warmParts.get(partKey(candidate.endpoint.id, scope, part));
			if (usedAt === undefined || now - usedAt > warmMs) {
				break;
			}

			tokens += part.tokens;
		}

		return tokens;
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

	/** Engines by the order that every daemon works out for these parts; all live ones count, so that it is the same everywhere. */
	const homesOf = (request: ChoiceRequest, prompt: PromptNeed): string[] => {
		const shared = prompt.parts.slice(0, -1);
		if (shared.length === 0) {
			return [];
		}

		const halves = halvesOf(hashOf(`${prompt.wall} ${shared.at(-1)!.id}`));
		const ranked = view.endpointsOf(request.service)
			.filter(endpoint => !endpoint.isLeaving)
			.map(({id}) => ({id, rank: rankOf(halves, seedOf(id))}));
		ranked.sort((a, b) => a.rank - b.rank);
		return ranked.slice(0, homes).map(({id}) => id);
	};

	const nearestStore = (): string | undefined => {
		const stores = view.current()?.document.cacheStores ?? [];
		return (stores.find(store => store.dataCentre === options.dataCentre) ?? stores.at(0))?.address;
	};

	const chooseEngine = (request: ChoiceRequest, prompt: PromptNeed, candidates: readonly Candidate[]): Choice | undefined => {
		const now = performance.now();
		const homeIds = homesOf(request, prompt);
		const sharedTokens = prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
		const memoryTokens = view.current()?.document.services.get(request.service)?.engine?.memoryTokens ?? Number.POSITIVE_INFINITY;
		const store = nearestStore();
		let best: Choice | undefined;
		for (const candidate of candidates) {
			const warm = warmTokens(candidate, prompt, now);
			// After a change of weights nobody has the parts. Where that was not seen,
			// nine daemons sent cold prompts to an engine that had just changed, at a
			// third of what reading them took, and first events came 0.9 s late.
			const readTokens = store === undefined ? sharedTokens : knownTokens(prompt, keptKeys(prompt, candidate.weights));
			const known = Math.max(warm, readTokens);
			const isHome = homeIds.includes(candidate.endpoint.id);
			const hoped = isHome ? known : warm;
			const fetched = store === undefined ? 0 : known - hoped;
			const missing = Math.max(0, prompt.promptTokens - hoped - (fetched * (1 - fetchCost)));
			// Parts that are read away from their home are fetched by it later.
			const strayTokens = isHome ? 0 : (sharedTokens - known) * fetchCost;
			const expectedMs = engineMs(candidate, prompt, missing + strayTokens, memoryTokens);
			if (best === undefined || expectedMs < best.expectedMs) {
				best = {
					endpoint: candidate.endpoint,
					weights: candidate.weights,
					cacheScope: scopeOf(prompt, candidate.weights),
					missingTokens: missing,
					pendingTokens: candidate.load.pendingTokens,
					expectedMs,
					// Asking the store costs a millisecond where the engine has the parts after all.
					fetchFrom: sharedTokens > 0 ? store : undefined,
					saveTo: readTokens < sharedTokens ? store : undefined,
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

	const forgetCold = (now: number): void => {
		for (const [key, usedAt] of warmParts) {
			if (now - usedAt <= warmMs) {
				return;
			}

			warmParts.delete(key);
		}
	};

	/** Endpoints that may take the request; doubtful ones only when there are no others. */
	const candidatesOf = (request: ChoiceRequest): Candidate[] => {
		const sound: Candidate[] = [];
		const doubtful: Candidate[] = [];
		for (const endpoint of view.endpointsOf(request.service)) {
			const candidate = candidateOf(endpoint, request);
			if (candidate !== undefined) {
				(presence.isDoubtful(endpoint) ? doubtful : sound).push(candidate);
			}
		}

		return sound.length > 0 ? sound : doubtful;
	};

	return {
		choose(request) {
			const candidates = candidatesOf(request);
			return request.prompt === undefined ? choosePlain(candidates) : chooseEngine(request, request.prompt, candidates);
		},
		placed({endpoint, cacheScope, weights, saveTo}, prompt) {
			const now = performance.now();
			if (saveTo !== undefined) {
				kept.saved(keptKeys(prompt, weights));
			}

			for (const part of prompt.parts.slice(0, -1)) {
				const key = partKey(endpoint.id, cacheScope ?? '', part);
				warmParts.delete(key);
				warmParts.set(key, now);
			}

			forgetCold(now);
		},
	};
}
