/**
 * Chooses the endpoint with the shortest expected time to the first event, estimated from its
 * queue and the uncached part of the prompt. Rendezvous hashing assigns shared parts to a home
 * engine, which is compared with a random sample of the others.
 */
import {type FleetDocument} from '../fleet/fleet-document.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {createSampler, type SamplerOptions} from './candidate-sample.js';
import {
	type Candidate, type CandidatesOptions, createCandidates,
} from './candidates.js';
import {
	type ChoiceRequest, partKeys, type PromptNeed, scopeOf,
} from './choice-request.js';
import {
	createDistanceRule, type DistanceEstimate, type DistanceNeed, type LeaveReason,
} from './distance-rule.js';
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
	/** Why the request leaves this daemon's data centre; `undefined` if it stays, or distance counts as delay only. */
	leaves: LeaveReason | undefined;
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

/** A candidate with its estimates. `waitMs` is the part of `choice.expectedMs` that the request waits for others. */
type Rated = {choice: Choice; candidate: Candidate; waitMs: number};

/** The best of several candidates, with the mean of their waits. */
type Best = Rated & {meanWaitMs: number};

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
/** Bytes of an event, for an answer whose size is only known in tokens. */
const bytesPerOutputToken = 85;
/** Assumed size of a plain service's answer. */
const plainResponseBytes = 2000;
/** Engines over which the mean wait of a data centre is taken, and the time for which it is kept; both bound the cost of a choice. */
const maxMeanEngines = 12;
const meanWaitTtlMs = 100;
/** Bounds the share of a single engine in that mean, so that one that hangs doesn't count as pressure on its data centre. */
const maxMeanWaitMs = 800;
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

	/** Expected time that a new request waits for those in flight. */
	const queueMs = (endpoint: LiveEndpoint, load: EndpointLoad): number =>
		((load.pendingTokens * loadTracker.msPerToken(endpoint.id))
			+ (load.running * perRunningMs)
			+ (load.running >= endpoint.slots ? (load.running - endpoint.slots + 1) * perRunningMs * 10 : 0)) * loadTracker.paceRatio(endpoint.id);

	/** Expected time that a prompt waits at the engine. */
	const engineWaitMs = (candidate: Candidate, prompt: PromptNeed): number => {
		const {endpoint, load} = candidate;
		const usedRatio = memoryRatio(candidate, prompt);
		return queueMs(endpoint, load)
			+ (usedRatio > fullMemoryRatio ? memoryWaitMs * usedRatio : 0)
			+ hangMs(load) + stalenessMs(prompt, candidate.weights ?? 0);
	};

	/** Expected time for the prompt itself. */
	const ownMs = (candidate: Candidate, cost: PromptCost): number => {
		const {endpoint} = candidate;
		return ((loadTracker.baseMs(endpoint.id) + (cost.missingTokens * loadTracker.msPerToken(endpoint.id))) * loadTracker.paceRatio(endpoint.id))
			+ cost.fetchMs + cost.evictionMs + distanceMs(endpoint) + drainMs(candidate);
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

	const distanceRule = createDistanceRule();

	/** Distance counts as delay only where the operator doesn't state the sizes of transfers, and while the target latency is unknown. */
	const distanceNeed = ({service, distance, prompt}: ChoiceRequest): DistanceNeed | undefined => {
		if (distance === undefined || !statesSizes()) {
			return undefined;
		}

		const {bodyBytes, ...rest} = distance;
		return {...rest, service, bytes: bodyBytes + (prompt === undefined ? plainResponseBytes : prompt.outputTokens * bytesPerOutputToken)};
	};

	let sized: {document: FleetDocument; statesSizes: boolean} | undefined;

	const statesSizes = (): boolean => {
		const document = view.current()?.document;
		if (document !== undefined && sized?.document !== document) {
			sized = {document, statesSizes: [...document.services.values()].some(({engine}) => (engine?.tokenBytes ?? 0) > 0)};
		}

		return sized?.statesSizes ?? false;
	};

	const isOwn = ({dataCentre}: LiveEndpoint): boolean => dataCentre === options.dataCentre;

	const estimateOf = ({choice, waitMs, meanWaitMs}: Best): DistanceEstimate => ({expectedMs: choice.expectedMs, waitMs, meanWaitMs});

	/**
	 * Looks at other data centres only if the request may leave its own one. `own` and `others` each return
	 * the best candidate there; `any` chooses where the own data centre has none.
	 */
	const chooseByDistance = (need: DistanceNeed, {own, others, any, canBeginAt, usedRatio}: {
		own: () => Best | undefined; others: () => Best | undefined; any: () => Rated | undefined; canBeginAt: (candidate: Candidate) => boolean; usedRatio: (candidate: Candidate) => number;
	}): Choice | undefined => {
		const here = own();
		if (here === undefined) {
			const choice = any()?.choice;
			return choice && {...choice, leaves: isOwn(choice.endpoint) ? undefined : 'none_eligible'};
		}

		if (distanceRule.stays(need, estimateOf(here), canBeginAt(here.candidate))) {
			return here.choice;
		}

		if (distanceRule.isPressed(need)) {
			const {choice, candidate} = any() ?? here;
			const isAway = !isOwn(choice.endpoint);
			return isAway && !distanceRule.mayUse(need, usedRatio(candidate)) ? here.choice : {...choice, leaves: isAway ? 'pressure' : undefined};
		}

		const other = others();
		const leaves = other && distanceRule.reasonToLeave(need, estimateOf(here), estimateOf(other));
		return leaves === undefined ? here.choice : {...other!.choice, leaves};
	};

	const bestOf = (sampled: readonly Candidate[], rate: (candidate: Candidate) => Rated): Rated | undefined => {
		let best: Rated | undefined;
		for (const candidate of sampled) {
			const rated = rate(candidate);
			if (best === undefined || rated.choice.expectedMs < best.choice.expectedMs) {
				best = rated;
			}
		}

		return best;
	};

	const withMean = (best: Rated | undefined, meanWaitMs: () => number): Best | undefined => best && {...best, meanWaitMs: meanWaitMs()};

	const meanWaits = new Map<string, {ms: number; at: number}>();

	/** Mean wait in the queues of some of these engines, which are remembered by `name`. */
	const meanWaitMs = (name: string, engines: readonly LiveEndpoint[]): number => {
		const now = performance.now();
		const known = meanWaits.get(name);
		if (known !== undefined && now - known.at < meanWaitTtlMs) {
			return known.ms;
		}

		const first = Math.floor(options.random() * engines.length);
		const count = Math.min(maxMeanEngines, engines.length);
		let sumMs = 0;
		for (let index = 0; index < count; index++) {
			const endpoint = engines[(first + index) % engines.length];
			sumMs += Math.min(maxMeanWaitMs, queueMs(endpoint, loadTracker.load(endpoint)));
		}

		const ms = sumMs / count;
		meanWaits.set(name, {ms, at: now});
		return ms;
	};

	const chooseEngine = (request: ChoiceRequest, prompt: PromptNeed): Choice | undefined => {
		const engines = candidates.endpointsFor(request);

		const bestEngine = (sampled: readonly Candidate[], homeId: string | undefined): Rated | undefined => {
			const costOf = costEstimatorFor(request, prompt, homeId);
			return bestOf(sampled, candidate => {
				const {endpoint, weights, load} = candidate;
				const cost = costOf(candidate);
				const waitMs = engineWaitMs(candidate, prompt);
				const choice: Choice = {
					endpoint,
					weights,
					cacheScope: scopeOf(prompt, weights),
					missingTokens: cost.missingTokens,
					pendingTokens: load.pendingTokens,
					expectedMs: waitMs + ownMs(candidate, cost),
					paceRatio: loadTracker.paceRatio(endpoint.id),
					fetchMs: cost.fetchMs,
					fetchFrom: cost.fetchFrom,
					saveTo: cost.saveTo,
					leaves: undefined,
				};
				return {choice, candidate, waitMs};
			});
		};

		const chooseAny = (): Rated | undefined => {
			const homeId = homeOf(prompt, engines);
			return bestEngine(sampleWithHome(request, prompt, {engines, homeId}), homeId);
		};

		const need = distanceNeed(request);
		if (need === undefined) {
			return chooseAny()?.choice;
		}

		const ownEngines = engines.filter(engine => isOwn(engine));
		if (ownEngines.length === engines.length) {
			return chooseAny()?.choice;
		}

		const canBeginAt = (candidate: Candidate): boolean => canBegin(candidate, prompt);
		const usedRatio = (candidate: Candidate): number =>
			Math.max(memoryRatio(candidate, prompt), (candidate.load.running + 1) / candidate.endpoint.slots);
		return chooseByDistance(need, {
			own() {
				const homeId = homeOf(prompt, ownEngines);
				const best = bestEngine(sampleWithHome(request, prompt, {engines: ownEngines, homeId}).filter(({isDoubtful}) => !isDoubtful), homeId);
				return withMean(best, () => meanWaitMs(`${request.service} own`, ownEngines));
			},
			others() {
				const homeId = homeOf(prompt, engines);
				const otherEngines = engines.filter(engine => !isOwn(engine));
				const sampled = sampleWithHome(request, prompt, {engines: otherEngines, homeId});
				const best = bestEngine(sampled.filter(candidate => !isOwn(candidate.endpoint) && !candidate.isDoubtful && distanceRule.mayUse(need, usedRatio(candidate))), homeId);
				return withMean(best, () => meanWaitMs(`${request.service} others`, otherEngines));
			},
			any: chooseAny,
			canBeginAt,
			usedRatio,
		});
	};

	const choosePlain = (request: ChoiceRequest): Choice | undefined => {
		const bestPlain = (eligible: readonly Candidate[]): Best | undefined => withMean(bestOf(eligible, candidate => {
			const waitMs = plainMs(candidate);
			const choice: Choice = {
				endpoint: candidate.endpoint,
				weights: undefined,
				cacheScope: undefined,
				missingTokens: 0,
				pendingTokens: 0,
				expectedMs: waitMs,
				paceRatio: loadTracker.paceRatio(candidate.endpoint.id),
				fetchMs: 0,
				fetchFrom: undefined,
				saveTo: undefined,
				leaves: undefined,
			};
			return {choice, candidate, waitMs};
		}), () => eligible.reduce((sum, candidate) => sum + plainMs(candidate), 0) / eligible.length);

		const usedRatio = ({endpoint, load}: Candidate): number => (load.running + 1) / endpoint.slots;
		const canBeginAt = (candidate: Candidate): boolean => usedRatio(candidate) <= 1;
		const eligible = candidates.all(request);
		const bestOfSample = (): Best | undefined => bestPlain(sample(eligible, candidate => candidate, canBeginAt));
		const need = distanceNeed(request);
		if (need === undefined) {
			return bestOfSample()?.choice;
		}

		return chooseByDistance(need, {
			own: () => bestPlain(eligible.filter(({endpoint}) => isOwn(endpoint))),
			others: () => bestPlain(eligible.filter(candidate => !isOwn(candidate.endpoint) && distanceRule.mayUse(need, usedRatio(candidate)))),
			any: bestOfSample,
			canBeginAt,
			usedRatio,
		});
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
