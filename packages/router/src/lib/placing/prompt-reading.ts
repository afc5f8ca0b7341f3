/**
 * Cost of a prompt at an engine: tokens to compute, and shared parts to fetch. All engines
 * share the cache store's link, so parts come from another engine's memory if possible.
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
	/** Contents of the cache store. */
	kept: KeptParts;
	/** Contents of the engines' memory. */
	resident: ResidentParts;
	dataCentre: string;
};

/** Cost of a prompt at one engine. */
export type Reading = {
	/** Prompt tokens to compute. */
	missingTokens: number;
	/** Milliseconds to fetch shared parts. */
	fetchMs: number;
	/** Later cost in milliseconds of the cached parts that a copy away from home evicts. */
	strayMs: number;
	/** IP:PORT to fetch from. */
	fetchFrom: string | undefined;
	/** IP:PORT of the store that saves computed parts. */
	saveTo: string | undefined;
};

/** A source of a prompt's shared parts. */
type Supply = {
	address: string;
	dataCentre: string;
	linkBytesPerMs: number;
	/** Tokens of leading shared parts. */
	tokens: number;
};

/** Factor on transfer times between data centres. */
const crossDataCentreFactor = 2;

/** Fraction of evicted tokens that would have been used again. */
const reuseRatio = 0.5;

const noSupply: Supply = {
	address: '', dataCentre: '', linkBytesPerMs: Number.POSITIVE_INFINITY, tokens: 0,
};

/** Creates a reader; it is called once per request, and its result once per candidate. */
export function createPromptReader(options: PromptReaderOptions): (request: ChoiceRequest, prompt: PromptNeed) => (candidate: Candidate) => Reading {
	const {view, book, health, presence, versions, kept, resident} = options;
	const homeOf = createHomeFinder();

	const nearestStore = (): CacheStore | undefined => {
		const stores = view.current()?.document.cacheStores ?? [];
		return stores.find(store => store.dataCentre === options.dataCentre) ?? stores.at(0);
	};

	/** Tokens of leading shared parts in the store. */
	const keptTokens = (prompt: PromptNeed, weights: number | undefined): number => {
		const keys = partKeys(prompt, weights);
		return leadingTokens(prompt, index => kept.isKnown(keys[index]));
	};

	/** Fetching from a dead source delays the request, so it must not be known to fail. A slow one is fine. */
	const isSound = (endpoint: LiveEndpoint, model: string, weights: number | undefined): boolean => {
		const {version, isChanging} = versions.of(endpoint, model);
		return version === weights && !isChanging && !endpoint.isLeaving
			&& !presence.hasEnded(endpoint) && !presence.isDoubtful(endpoint) && health.healthOf(endpoint.id) === 'healthy';
	};

	/** The engine with most of the prompt's shared parts under these weights. */
	const bestHolder = (prompt: PromptNeed, weights: number | undefined, {linkBytesPerMs}: EngineTraits): Supply => {
		let best = noSupply;
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

	/** Milliseconds to fetch one token, bounded by the time to compute it instead. */
	const fetchMsPerToken = (endpoint: LiveEndpoint, supply: Supply, {tokenBytes, linkBytesPerMs}: EngineTraits): number => {
		const distance = endpoint.dataCentre === supply.dataCentre ? 1 : crossDataCentreFactor;
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
					store: store === undefined ? noSupply : {...store, tokens: keptTokens(prompt, weights)},
					holder: traits === undefined ? noSupply : bestHolder(prompt, weights, traits),
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
				strayMs: strayTokens * reuseRatio * fetchMsPerToken(endpoint, from.store, traits),
				// The estimate of the engine's own memory may be wrong, and asking is cheap.
				fetchFrom: supply === from.holder ? supply.address : store?.address,
				saveTo: store !== undefined && from.store.tokens < sharedTokens ? store.address : undefined,
			};
		};
	};
}
