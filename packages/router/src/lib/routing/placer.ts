/**
 * Decides where requests go. Candidates are compared by one cost, the
 * milliseconds until the first token: queueing, computing the part of the
 * prompt that is not cached, loading an adapter, and the network. Where a
 * prefix belongs is computed, and answers correct it (docs/design/routing.md).
 */
import {type Placement, type PlacementRequest, type Placer} from '../serving/ports.js';
import {createCandidateFinder, type Candidate, type CandidateSearch} from './candidates.js';
import {createEngineModel} from './engine-model.js';
import {type EngineRecord, type OwnStart} from './engine-record.js';
import {createHealthTracker} from './health.js';
import {fillPlacerOptions, type PlacementEndpoint, type PlacerOptions} from './placement-options.js';
import {addFading, createPrefixMemory} from './prefix-memory.js';
import {restoreSnapshot, takeSnapshot} from './placement-snapshot.js';
import {levelsOf, type PrefixLevel} from './prefix-levels.js';
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
	/** What a restarted peer needs to place as this placer does: at most `mostPrefixes` prefixes, 100 to 200 bytes each. */
	snapshot: (mostPrefixes: number) => Uint8Array;
	/**
	 * Takes over a peer's snapshot where nothing is known yet; endpoints have to be set before.
	 * @throws {PlacementSnapshotError} when it is not one; nothing has changed then.
	 */
	restore: (content: Uint8Array) => void;
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
	/** Milliseconds that the engine is thought to compute for the request. */
	workMs: number;
	/** Set once the request has left. */
	start?: OwnStart;
};

const trustStep = 0.01;
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
	const model = createEngineModel(options);
	const table = createServiceTable(model, options);
	const memory = createPrefixMemory(options.rememberedPrefixes, options.homesEach);
	const health = createHealthTracker(options.health);
	const finder = createCandidateFinder({
		memory, health, model, options,
	});
	const decisions = new WeakMap<Placement, Decision>();

	/**
	 * Pieces that may be cached: those that answers have shown, and of the rest
	 * what computed homes are trusted with, since peers place there as well.
	 */
	const hopedPieces = (candidate: Candidate, pieces: number, trust: number): number => {
		const shown = candidate.cachedPieces;
		const hoped = candidate.isHome ? pieces : candidate.homeDepth;
		return shown + (trust * Math.max(0, hoped - shown));
	};

	const adapterMs = (engine: EngineRecord, adapter: string): number =>
		adapter === '' || engine.adapters.includes(adapter) ? 0 : options.adapterSwitchMs;

	const choose = (search: CandidateSearch): Decision | undefined => {
		const {request, service, levels, now} = search;
		let chosen: Candidate | undefined;
		let least = Number.POSITIVE_INFINITY;
		let queueMs = 0;
		let workMs = 0;
		for (const candidate of finder.search(search)) {
			const {engine} = candidate;
			const queued = model.queueMs(engine, now);
			const missing = Math.max(0, request.promptTokens - (hopedPieces(candidate, request.pieces.length, service.metPieces / service.hopedPieces) * service.pieceTokens));
			const computing = missing * engine.msPerToken;
			const charged = Math.max(0, request.promptTokens - (hopedPieces(candidate, request.pieces.length, options.homeCredit) * service.pieceTokens)) * engine.msPerToken;
			const cost = queued + (charged * options.recomputeWeight) + adapterMs(engine, request.adapter) + engine.roundTripMs;
			if (cost < least) {
				least = cost;
				chosen = candidate;
				queueMs = queued;
				workMs = computing;
			}
		}

		return chosen && {
			engine: chosen.engine, generation: chosen.engine.generation, service, levels, candidate: chosen, queueMs, workMs,
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

	/** How much of what was not known to be cached a computed home had after all, by pieces. */
	const learnTrust = ({candidate, service}: Decision, cachedPieces: number, pieces: number): void => {
		const hoped = candidate.isHome ? pieces : candidate.homeDepth;
		const unknown = hoped - candidate.depth;
		if (unknown <= 0) {
			return;
		}

		service.hopedPieces = (service.hopedPieces * (1 - trustStep)) + unknown;
		service.metPieces = (service.metPieces * (1 - trustStep)) + Math.max(0, Math.min(unknown, cachedPieces - candidate.depth));
	};

	const learnFromAnswer = (request: PlacementRequest, decision: Decision, cachedTokens: number, firstTokenMs: number | undefined): void => {
		const {engine, candidate, service} = decision;
		const cachedPieces = cachedTokens / service.pieceTokens;
		if (firstTokenMs !== undefined) {
			model.learnSpeed(engine, firstTokenMs, decision.queueMs + engine.roundTripMs, request.promptTokens - cachedTokens);
			model.learnGenerating(engine, Math.max(0, performance.now() - decision.start!.at - firstTokenMs));
		}

		if (candidate.depth > 0) {
			model.learnSurvival(engine, candidate.ageMs, cachedPieces >= candidate.depth);
		}

		learnTrust(decision, cachedPieces, request.pieces.length);
		memory.learn(decision.levels, engine, performance.now());
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

			const decision = choose({
				request, service, levels: levelsOf(request.pieces), now: performance.now(),
			});
			if (decision === undefined) {
				return undefined;
			}

			const expectedCachedTokens = cachedTokensOf(decision, request);
			const placement: Placement = {
				endpoint: decision.engine.name,
				incarnation: decision.engine.incarnation,
				expectedCachedTokens,
				expectedMs: decision.queueMs + decision.workMs + decision.engine.roundTripMs,
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
			memory.count(decision.levels, decision.service.requests, now);
			addFading(decision.service.requests, now, 1);
			decision.start = model.start(engine, now, decision.workMs);
			learnAdapter(engine, request.adapter);
			// Requests that follow at once find the prefix computed by this one.
			memory.learn(decision.levels, engine, now);
		},
		finished(request, placement, outcome) {
			const decision = decisions.get(placement);
			if (decision?.start === undefined) {
				return;
			}

			decisions.delete(placement);
			const {engine} = decision;
			model.finish(engine, decision.start);
			const isNews = outcome.load === undefined || model.tell(engine, performance.now(), outcome.load, 0);
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
			const engine = table.engineOf(endpoint);
			if (engine !== undefined) {
				model.tell(engine, performance.now(), load, options.reportLagMs);
			}
		},
		evicted(endpoint, incarnation, pieces) {
			const engine = table.engineOf(endpoint);
			if (engine?.incarnation === incarnation) {
				memory.forget(pieces, engine);
			}
		},
		snapshot: mostPrefixes => takeSnapshot({table, memory}, mostPrefixes),
		restore(content) {
			restoreSnapshot({table, memory}, content);
		},
		ejectedOf: service => health.ejectedOf(service),
		rememberedPrefixes: () => memory.size(),
	};
};
