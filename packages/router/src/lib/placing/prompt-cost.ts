/**
 * Estimates the cost of a prompt at an engine: tokens to compute, and shared parts to fetch. All
 * engines share the cache store's link, so parts are fetched from another engine's memory if possible.
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
import {type EndpointLoadTracker} from './endpoint-load-tracker.js';
import {type StoredParts} from './stored-parts.js';
import {type ResidentParts} from './resident-parts.js';

/** Options of {@link createPromptCostEstimator}. */
export type PromptCostOptions = {
	view: FleetView;
	loadTracker: EndpointLoadTracker;
	health: HealthTracker;
	presence: EndpointPresence;
	versions: EngineVersions;
	/** Contents of the cache store. */
	storedParts: StoredParts;
	/** Contents of the engines' memory. */
	residentParts: ResidentParts;
	dataCentre: string;
};

/** Cost of a prompt at one engine. */
export type PromptCost = {
	/** Prompt tokens to compute. */
	missingTokens: number;
	/** Milliseconds to fetch shared parts. */
	fetchMs: number;
	/** Milliseconds that it costs later that a copy outside the home engine evicts other cached parts. */
	evictionMs: number;
	/** IP:PORT of an engine or store to fetch from. */
	fetchFrom: string | undefined;
	/** IP:PORT of the store that saves computed parts. */
	saveTo: string | undefined;
};

/** An engine or store that holds leading shared parts of a prompt. */
type PartSource = {
	address: string;
	dataCentre: string;
	linkBytesPerMs: number;
	/** Tokens of the leading shared parts that it holds. */
	tokens: number;
};

/** Factor on the transfer time between data centres. */
const crossDataCentreFactor = 2;

/** Estimated fraction of evicted tokens that would have been used again. */
const reuseRatio = 0.5;

const noSource: PartSource = {
	address: '', dataCentre: '', linkBytesPerMs: Number.POSITIVE_INFINITY, tokens: 0,
};

/** Creates an estimator. It is called once per request, and its result once per candidate. */
export function createPromptCostEstimator(options: PromptCostOptions): (request: ChoiceRequest, prompt: PromptNeed, homeId: string | undefined) => (candidate: Candidate) => PromptCost {
	const {view, loadTracker, health, presence, versions, storedParts, residentParts} = options;

	const nearestStore = (): CacheStore | undefined => {
		const stores = view.current()?.document.cacheStores ?? [];
		return stores.find(store => store.dataCentre === options.dataCentre) ?? stores.at(0);
	};

	/** Tokens of the leading shared parts in the store. */
	const storedTokens = (prompt: PromptNeed, weights: number | undefined): number => {
		const keys = partKeys(prompt, weights);
		return leadingTokens(prompt, index => storedParts.isKnown(keys[index]));
	};

	/** Excludes engines that are known to fail, since a fetch from a dead one delays the request. Slow ones are accepted. */
	const isUsableSource = (endpoint: LiveEndpoint, model: string, weights: number | undefined): boolean => {
		const {version, isChanging} = versions.of(endpoint, model);
		return version === weights && !isChanging && !endpoint.isLeaving
			&& !presence.hasEnded(endpoint) && !presence.isDoubtful(endpoint) && health.healthOf(endpoint.id) === 'healthy';
	};

	/** The usable engine that holds the most leading shared tokens of the prompt under these weights; one in the own data centre if several do. */
	const bestHolder = (prompt: PromptNeed, weights: number | undefined, {linkBytesPerMs}: EngineTraits): PartSource => {
		let best = noSource;
		for (const id of residentParts.holders(weights, prompt)) {
			const endpoint = view.endpoint(id);
			if (endpoint === undefined || !isUsableSource(endpoint, prompt.model, weights)) {
				continue;
			}

			const tokens = residentParts.tokens({id, weights}, prompt);
			const isNearer = endpoint.dataCentre === options.dataCentre && best.dataCentre !== options.dataCentre;
			if (tokens > best.tokens || (tokens > 0 && tokens === best.tokens && isNearer)) {
				best = {
					address: endpoint.address, dataCentre: endpoint.dataCentre, linkBytesPerMs, tokens,
				};
			}
		}

		return best;
	};

	/** Milliseconds to fetch one token, or to compute it where that is faster. */
	const fetchMsPerToken = (endpoint: LiveEndpoint, source: PartSource, {tokenBytes, linkBytesPerMs}: EngineTraits): number => {
		const distance = endpoint.dataCentre === source.dataCentre ? 1 : crossDataCentreFactor;
		return Math.min(loadTracker.msPerToken(endpoint.id) * loadTracker.paceRatio(endpoint.id), tokenBytes * distance / Math.min(linkBytesPerMs, source.linkBytesPerMs));
	};

	return (request, prompt, homeId) => {
		const traits = view.current()?.document.services.get(request.service)?.engine;
		const sharedTokens = sharedPartsOf(prompt).reduce((sum, part) => sum + part.tokens, 0);
		const store = nearestStore();
		const sourcesByWeights = new Map<number | undefined, {store: PartSource; holder: PartSource}>();

		const sourcesOf = (weights: number | undefined): {store: PartSource; holder: PartSource} => {
			let known = sourcesByWeights.get(weights);
			if (known === undefined) {
				known = {
					store: store === undefined ? noSource : {...store, tokens: storedTokens(prompt, weights)},
					holder: traits === undefined ? noSource : bestHolder(prompt, weights, traits),
				};
				sourcesByWeights.set(weights, known);
			}

			return known;
		};

		return ({endpoint, weights}) => {
			if (traits === undefined || sharedTokens === 0) {
				return {
					missingTokens: prompt.promptTokens, fetchMs: 0, evictionMs: 0, fetchFrom: undefined, saveTo: undefined,
				};
			}

			const sources = sourcesOf(weights);
			const ownTokens = residentParts.tokens({id: endpoint.id, weights}, prompt);
			const source = sources.holder.tokens > ownTokens && sources.holder.tokens >= sources.store.tokens ? sources.holder : sources.store;
			const fetchedTokens = Math.max(0, source.tokens - ownTokens);
			const evictedTokens = endpoint.id === homeId ? 0 : sharedTokens - ownTokens;
			return {
				missingTokens: Math.max(0, prompt.promptTokens - ownTokens - fetchedTokens),
				fetchMs: fetchedTokens * fetchMsPerToken(endpoint, source, traits),
				evictionMs: evictedTokens * reuseRatio * fetchMsPerToken(endpoint, sources.store, traits),
				// Set even if nothing seems missing: the estimate of the engine's own memory may be wrong, and asking is cheap.
				fetchFrom: source === sources.holder ? source.address : store?.address,
				saveTo: store !== undefined && sources.store.tokens < sharedTokens ? store.address : undefined,
			};
		};
	};
}
