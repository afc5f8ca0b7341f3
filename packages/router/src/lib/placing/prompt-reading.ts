/**
 * What an engine has to do for a prompt before its answer can begin: what it
 * computes, and what it fetches from whom.
 *
 * The cache store has one link for all engines. Where every engine fetched from
 * it, that link carried 6.1 to 8.5 GB/s of the 8.5 that it can (prompt memory moved
 * on played days with six engines and 26 long prompts a second), and fetches waited
 * for each other. Engines have links of their own, many times as wide in sum. So
 * parts come from an engine that has them in memory, and from the store only when
 * none has.
 */
import {type CacheStore, type EngineTraits} from '../fleet/fleet-document.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type EndpointPresence} from '../fleet/endpoint-presence.js';
import {type HealthTracker} from '../routing/health.js';
import {type EngineVersions} from '../weights/engine-versions.js';
import {type Candidate} from './candidates.js';
import {
	type ChoiceRequest, leadingTokens, partKeys, type PromptNeed, sharedPartsOf,
} from './choice-request.js';
import {type EndpointBook} from './endpoint-book.js';
import {type KeptParts} from './kept-parts.js';
import {createHomeFinder} from './prompt-home.js';
import {type ResidentParts} from './resident-parts.js';

/** Options of {@link createPromptReader}. */
export type PromptReaderOptions = {
	view: FleetView;
	book: EndpointBook;
	health: HealthTracker;
	presence: EndpointPresence;
	versions: EngineVersions;
	/** What lies in the cache store. */
	kept: KeptParts;
	/** What lies in engines' memory. */
	resident: ResidentParts;
	dataCentre: string;
};

/** What one engine has to do for a prompt. */
export type Reading = {
	/** Prompt tokens that it computes. */
	missingTokens: number;
	/** Milliseconds to fetch shared parts from elsewhere. */
	fetchMs: number;
	/** Milliseconds of fetching that others pay later, since the copy takes memory from parts that they use. */
	strayMs: number;
	/** IP:PORT to fetch from. */
	fetchFrom: string | undefined;
	/** IP:PORT of the store that keeps what the engine computes. */
	saveTo: string | undefined;
};

/** A place that has shared parts of a prompt. */
type Supply = {
	address: string;
	dataCentre: string;
	linkBytesPerMs: number;
	/** Tokens of shared parts, from the first part on. */
	tokens: number;
};

/** Times longer that a transfer takes between two data centres, as the platform says. */
const otherDataCentreTransfer = 2;

/** Part of the displaced tokens that are asked for again before they would have been evicted anyway. */
const displacedShare = 0.5;

const nowhere: Supply = {
	address: '', dataCentre: '', linkBytesPerMs: Number.POSITIVE_INFINITY, tokens: 0,
};

/** Creates a reader; it is asked once for a request and then for each candidate. */
export function createPromptReader(options: PromptReaderOptions): (request: ChoiceRequest, prompt: PromptNeed) => (candidate: Candidate) => Reading {
	const {view, book, health, presence, versions, kept, resident} = options;
	const homeOf = createHomeFinder();

	const nearestStore = (): CacheStore | undefined => {
		const stores = view.current()?.document.cacheStores ?? [];
		return stores.find(store => store.dataCentre === options.dataCentre) ?? stores.at(0);
	};

	/** Tokens of shared parts that some engine has had saved under these weights. */
	const keptTokens = (prompt: PromptNeed, weights: number | undefined): number => {
		const keys = partKeys(prompt, weights);
		return leadingTokens(prompt, index => kept.isKnown(keys[index]));
	};

	/**
	 * A source that is dead costs the fetching engine some hundred milliseconds, so
	 * it must not be known to fail. One that is only slow still gives its parts at
	 * once; where those were left out, crowded fleets fetched all from the store.
	 */
	const isSound = (endpoint: LiveEndpoint, model: string, weights: number | undefined): boolean => {
		const {version, isChanging} = versions.of(endpoint, model);
		return version === weights && !isChanging && !endpoint.isLeaving
			&& !presence.hasEnded(endpoint) && !presence.isDoubtful(endpoint) && health.healthOf(endpoint.id) === 'healthy';
	};

	/** The engine that has most of the prompt's shared parts under these weights. */
	const bestHolder = (prompt: PromptNeed, weights: number | undefined, {linkBytesPerMs}: EngineTraits): Supply => {
		let best = nowhere;
		for (const id of resident.holders(weights, prompt)) {
			const endpoint = view.endpoint(id);
			if (endpoint === undefined || !isSound(endpoint, prompt.model, weights)) {
				continue;
			}

			const tokens = resident.tokens({id, weights}, prompt);
			if (tokens > best.tokens) {
				best = {
					address: endpoint.address, dataCentre: endpoint.dataCentre, linkBytesPerMs, tokens,
				};
			}
		}

		return best;
	};

	/** Milliseconds to fetch one token; never more than computing it, since nothing forces an engine to fetch. */
	const fetchMsPerToken = (endpoint: LiveEndpoint, supply: Supply, {tokenBytes, linkBytesPerMs}: EngineTraits): number => {
		const distance = endpoint.dataCentre === supply.dataCentre ? 1 : otherDataCentreTransfer;
		return Math.min(book.msPerToken(endpoint.id), tokenBytes * distance / Math.min(linkBytesPerMs, supply.linkBytesPerMs));
	};

	return (request, prompt) => {
		const traits = view.current()?.document.services.get(request.service)?.engine;
		const home = homeOf(prompt, view.endpointsOf(request.service));
		const sharedTokens = sharedPartsOf(prompt).reduce((sum, part) => sum + part.tokens, 0);
		const store = nearestStore();
		const supplies = new Map<number | undefined, {store: Supply; holder: Supply}>();

		const suppliesOf = (weights: number | undefined): {store: Supply; holder: Supply} => {
			let known = supplies.get(weights);
			if (known === undefined) {
				known = {
					store: store === undefined ? nowhere : {...store, tokens: keptTokens(prompt, weights)},
					holder: traits === undefined ? nowhere : bestHolder(prompt, weights, traits),
				};
				supplies.set(weights, known);
			}

			return known;
		};

		return ({endpoint, weights}) => {
			if (traits === undefined || sharedTokens === 0) {
				return {
					missingTokens: prompt.promptTokens, fetchMs: 0, strayMs: 0, fetchFrom: undefined, saveTo: undefined,
				};
			}

			const from = suppliesOf(weights);
			const ownTokens = resident.tokens({id: endpoint.id, weights}, prompt);
			const supply = from.holder.tokens > ownTokens && from.holder.tokens >= from.store.tokens ? from.holder : from.store;
			const fetchedTokens = Math.max(0, supply.tokens - ownTokens);
			const strayTokens = endpoint.id === home ? 0 : sharedTokens - ownTokens;
			return {
				missingTokens: Math.max(0, prompt.promptTokens - ownTokens - fetchedTokens),
				fetchMs: fetchedTokens * fetchMsPerToken(endpoint, supply, traits),
				strayMs: strayTokens * displacedShare * fetchMsPerToken(endpoint, from.store, traits),
				// Asking costs a millisecond where the engine has the parts after all.
				fetchFrom: supply === from.holder ? supply.address : store?.address,
				saveTo: store !== undefined && from.store.tokens < sharedTokens ? store.address : undefined,
			};
		};
	};
}
