/**
 * Decides where requests go. Candidates are compared by one cost, the
 * milliseconds until the first token: queueing, computing the part of the
 * prompt that is not cached, loading an adapter, and the network. Where a
 * prefix belongs is computed, and answers correct it (docs/design/routing.md).
 */
import {type Placement, type PlacementRequest, type Placer} from '../gateway/ports.js';
import {createCandidateFinder, type Candidate} from './candidates.js';
import {type EngineRecord, type OwnStart} from './engine-record.js';
import {createHealthTracker} from './health.js';
import {fillPlacerOptions, type PlacementEndpoint, type PlacerOptions} from './placement-options.js';
import {createPrefixMemory} from './prefix-memory.js';
import {levelsOf, type PrefixLevel} from './prefix-levels.js';
import {halvesOf, rankOf} from './rendezvous.js';
import {createServiceTable, type ServiceEntry} from './service-table.js';

/** A placer that learns from outcomes. */
export type LearningPlacer = Placer & {
	/** Tells all endpoints, when configuration or membership changed; cheap when little did. */
	setEndpoints: (endpoints: readonly PlacementEndpoint[]) => void;
	/**
	 * A cache event: prefixes are no longer cached. Events may be thinned, late
	 * or lost; those of another process of the engine change nothing.
	 */
	evicted: (endpoint: string, incarnation: string, pieces: readonly bigint[]) => void;
	/** Endpoints of a service that are ejected now, for reports. */
	ejectedOf: (service: string) => string[];
	/** Prefixes remembered now, for reports. */
	rememberedPrefixes: () => number;
};

/** What a decision rested on, until its outcome is known. */
type Decision = {
	engine: EngineRecord;
	generation: number;
	service: ServiceEntry;
	levels: readonly PrefixLevel[];
	candidate: Candidate;
	queueMs: number;
	/** Whether the endpoint was chosen as computed home of a part not known to be cached. */
	trusted: boolean;
	/** Set once the request has left. */
	start?: OwnStart;
};

const trustStep = 0.05;
const adaptersRemembered = 4;

/**
 * Opens a placer without endpoints.
 *
 * @example
 * const placer = createPlacer({random: Math.random});
 * placer.setEndpoints([{name: 'ws-1', service: 'wordsmith', dataCentre: 'hobart-a', usable: true}]);
 * const placement = placer.place(request);
 */
export const createPlacer = (givenOptions: PlacerOptions): LearningPlacer => {
	const options = fillPlacerOptions(givenOptions);
	const table = createServiceTable(options);
	const memory = createPrefixMemory(options.rememberedPrefixes, options.homesEach);
	const health = createHealthTracker(options.health);
	const finder = createCandidateFinder(memory, health, options);
	const decisions = new WeakMap<Placement, Decision>();

	/**
	 * Of the endpoints that have the deepest known level, the computed home of
	 * the level below it. All routers name the same one, so that what one of
	 * them had cached there serves the others before they have learned of it.
	 */
	const findTrusted = (candidates: readonly Candidate[], levels: readonly PrefixLevel[]): Candidate | undefined => {
		let deepest = 0;
		for (const candidate of candidates) {
			deepest = Math.max(deepest, candidate.depth);
		}

		const next = levels.find(level => level.depth > deepest);
		if (next === undefined) {
			return undefined;
		}

		const halves = halvesOf(next.hash);
		let trusted: Candidate | undefined;
		let best = Number.POSITIVE_INFINITY;
		for (const candidate of candidates) {
			const rank = rankOf(halves, candidate.engine.seed);
			if (candidate.depth === deepest && rank < best) {
				best = rank;
				trusted = candidate;
			}
		}

		return trusted;
	};

	const adapterMs = (engine: EngineRecord, adapter: string): number =>
		adapter === '' || engine.adapters.includes(adapter) ? 0 : options.adapterSwitchMs;

	const choose = (request: PlacementRequest, service: ServiceEntry, levels: readonly PrefixLevel[], now: number): Decision | undefined => {
		const candidates = finder.find(request, service, levels, now);
		const trusted = findTrusted(candidates, levels);
		let chosen: Candidate | undefined;
		let least = Number.POSITIVE_INFINITY;
		let queueMs = 0;
		for (const candidate of candidates) {
			const {engine} = candidate;
			const queued = engine.queueMs(now);
			let pieces = candidate.cachedPieces;
			if (candidate === trusted) {
				pieces += service.homeTrust * Math.max(0, request.pieces.length - pieces);
			}

			const missing = Math.max(0, request.promptTokens - (pieces * service.pieceTokens));
			const cost = queued + (missing * engine.msPerToken * options.recomputeWeight) + adapterMs(engine, request.adapter) + engine.roundTripMs;
			if (cost < least) {
				least = cost;
				chosen = candidate;
				queueMs = queued;
			}
		}

		return chosen && {
			engine: chosen.engine, generation: chosen.engine.generation, service, levels, candidate: chosen, queueMs, trusted: chosen === trusted,
		};
	};

	const cachedTokensOf = (decision: Decision, request: PlacementRequest): number =>
		Math.min(request.promptTokens, Math.floor(decision.candidate.cachedPieces) * decision.service.pieceTokens);

	const learnAdapter = (engine: EngineRecord, adapter: string): void => {
		if (adapter === '') {
			return;
		}

		engine.adapters = [...engine.adapters.filter(name => name !== adapter), adapter].slice(-adaptersRemembered);
	};

	/** How much of what was not known to be cached the computed home had after all. */
	const learnTrust = (decision: Decision, cachedPieces: number, pieces: number): void => {
		const unknown = pieces - decision.candidate.depth;
		if (!decision.trusted || unknown <= 0) {
			return;
		}

		const share = Math.max(0, Math.min(1, (cachedPieces - decision.candidate.depth) / unknown));
		decision.service.homeTrust += trustStep * (share - decision.service.homeTrust);
	};

	const learnFromAnswer = (request: PlacementRequest, decision: Decision, cachedTokens: number, firstTokenMs: number | undefined): void => {
		const {engine, candidate, service} = decision;
		const cachedPieces = cachedTokens / service.pieceTokens;
		if (firstTokenMs !== undefined) {
			engine.learnSpeed(firstTokenMs, decision.queueMs + engine.roundTripMs, request.promptTokens - cachedTokens);
		}

		if (candidate.depth > 0) {
			engine.learnSurvival(candidate.ageMs, cachedPieces >= candidate.depth);
		}

		learnTrust(decision, cachedPieces, request.pieces.length);
		memory.learn(decision.levels.map(level => level.hash), engine, performance.now());
	};

	return {
		setEndpoints(endpoints) {
			table.set(endpoints);
			for (const service of table.all()) {
				health.setEndpoints(service.name, service.engines.map(engine => engine.name));
			}
		},
		place(request) {
			const service = table.serviceOf(request.service);
			if (service === undefined) {
				return undefined;
			}

			const decision = choose(request, service, levelsOf(request.pieces), performance.now());
			if (decision === undefined) {
				return undefined;
			}

			const expectedCachedTokens = cachedTokensOf(decision, request);
			const placement: Placement = {
				endpoint: decision.engine.name,
				incarnation: decision.engine.incarnation,
				expectedCachedTokens,
				expectedMs: decision.queueMs + ((request.promptTokens - expectedCachedTokens) * decision.engine.msPerToken) + decision.engine.roundTripMs,
			};
			decisions.set(placement, decision);
			return placement;
		},
		started(request, placement) {
			const decision = decisions.get(placement);
			if (decision === undefined) {
				return;
			}

			const {engine} = decision;
			const now = performance.now();
			decision.start = engine.start(now, (request.promptTokens - placement.expectedCachedTokens) * engine.msPerToken);
			learnAdapter(engine, request.adapter);
			// Requests that follow at once find the prefix computed by this one.
			memory.learn(decision.levels.map(level => level.hash), engine, now);
		},
		finished(request, placement, outcome) {
			const decision = decisions.get(placement);
			if (decision?.start === undefined) {
				return;
			}

			decisions.delete(placement);
			const {engine} = decision;
			engine.finish(decision.start);
			const isNews = outcome.load === undefined || engine.report(performance.now(), outcome.load);
			if (outcome.result === 'failed') {
				health.failed(engine.name);
				memory.forget(decision.levels.map(level => level.hash), engine);
				return;
			}

			if (outcome.result === 'cancelled') {
				return;
			}

			health.succeeded(engine.name);
			const isCurrent = outcome.load === undefined ? engine.generation === decision.generation : isNews;
			if (isCurrent) {
				learnFromAnswer(request, decision, outcome.cachedTokens, outcome.firstTokenMs);
			}
		},
		observe(endpoint, load) {
			table.engineOf(endpoint)?.report(performance.now(), load);
		},
		evicted(endpoint, incarnation, pieces) {
			const engine = table.engineOf(endpoint);
			if (engine?.incarnation === incarnation) {
				memory.forget(pieces, engine);
			}
		},
		ejectedOf: service => health.ejectedOf(service),
		rememberedPrefixes: () => memory.size(),
	};
};
