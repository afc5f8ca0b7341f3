/**
 * Decides where requests go. Candidates are compared by one cost, the estimated
 * milliseconds until the first token: queueing, computing the part of the prompt
 * that is not cached, loading an adapter, and the network. The homes of a prefix
 * are computed and then corrected by answers (docs/design/routing.md).
 */
import {type Placement, type PlacementRequest, type Placer} from '../serving/ports.js';
import {createCandidateFinder, type Candidate, type CandidateSearch} from './candidates.js';
import {createEngineModel} from './engine-model.js';
import {type EngineRecord, type LocalRequest} from './engine-record.js';
import {createHealthTracker} from './health.js';
import {fillPlacerOptions, type PlacementEndpoint, type PlacerOptions} from './placement-options.js';
import {addDecaying, createPrefixMemory} from './prefix-memory.js';
import {restoreSnapshot, takeSnapshot} from './placement-snapshot.js';
import {levelsOf, type PrefixLevel} from './prefix-levels.js';
import {createServiceTable, type ServiceEntry} from './service-table.js';

/** A placer that learns from the outcomes of requests. */
export type LearningPlacer = Placer & {
	/** Sets all endpoints after configuration or membership changed; cheap when little did. */
	setEndpoints: (endpoints: readonly PlacementEndpoint[]) => void;
	/**
	 * Takes in a cache event: prefixes are no longer cached. Events may be sampled,
	 * late or lost; those of another process of the engine are ignored.
	 */
	evicted: (endpoint: string, incarnation: string, pieces: readonly bigint[]) => void;
	/** Returns what a restarted peer needs to place as this placer does: at most `mostPrefixes` prefixes, 100 to 200 bytes each. */
	snapshot: (mostPrefixes: number) => Uint8Array;
	/**
	 * Takes over a peer's snapshot where nothing is known yet; call `setEndpoints` before.
	 * @throws {PlacementSnapshotError} when the content is not a snapshot; nothing has changed then.
	 */
	restore: (content: Uint8Array) => void;
	/** Endpoints of a service that are currently ejected, for reports. */
	ejectedOf: (service: string) => string[];
	/** Number of prefixes remembered, for reports. */
	rememberedPrefixes: () => number;
};

/** Basis of a decision, kept until its outcome is known. */
type Decision = {
	engine: EngineRecord;
	generation: number;
	service: ServiceEntry;
	levels: readonly PrefixLevel[];
	candidate: Candidate;
	queueMs: number;
	/** Estimated milliseconds that the engine computes for the request. */
	workMs: number;
	/** Set once the request has been sent. */
	start?: LocalRequest;
};

const hitRateStep = 0.01;
const adaptersRemembered = 4;

/**
 * Creates a placer without endpoints.
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
	 * Expected number of cached pieces: those that answers have shown, and of the
	 * others that a computed home should have, the share `hitRate`, since peers place
	 * there as well.
	 */
	const expectedPieces = (candidate: Candidate, pieces: number, hitRate: number): number => {
		const shown = candidate.cachedPieces;
		const hoped = candidate.isHome ? pieces : candidate.homeDepth;
		return shown + (hitRate * Math.max(0, hoped - shown));
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
			const missingTokens = Math.max(0, request.promptTokens - (expectedPieces(candidate, request.pieces.length, service.hitPieces / service.expectedPieces) * service.pieceTokens));
			const computing = missingTokens * engine.msPerToken;
			const charged = Math.max(0, request.promptTokens - (expectedPieces(candidate, request.pieces.length, options.homeCredit) * service.pieceTokens)) * engine.msPerToken;
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

	/** Learns the hit rate of computed homes: the share of pieces not known to be cached that were cached after all. */
	const learnHomeHitRate = ({candidate, service}: Decision, cachedPieces: number, pieces: number): void => {
		const hoped = candidate.isHome ? pieces : candidate.homeDepth;
		const unknown = hoped - candidate.depth;
		if (unknown <= 0) {
			return;
		}

		service.expectedPieces = (service.expectedPieces * (1 - hitRateStep)) + unknown;
		service.hitPieces = (service.hitPieces * (1 - hitRateStep)) + Math.max(0, Math.min(unknown, cachedPieces - candidate.depth));
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

		learnHomeHitRate(decision, cachedPieces, request.pieces.length);
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
			addDecaying(decision.service.requests, now, 1);
			decision.start = model.start(engine, now, decision.workMs);
			learnAdapter(engine, request.adapter);
			// Requests that follow immediately can reuse the prefix that this one computes.
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
			const isLiveProcess = outcome.load === undefined || model.applyLoad(engine, performance.now(), outcome.load, 0);
			if (outcome.result === 'failed') {
				health.failed(engine.name);
				memory.forget(decision.levels.map(level => level.hash), engine);
				return;
			}

			if (outcome.result === 'cancelled') {
				return;
			}

			health.succeeded(engine.name);
			const isCurrent = outcome.load === undefined ? engine.generation === decision.generation : isLiveProcess;
			if (isCurrent) {
				learnFromAnswer(request, decision, outcome.cachedTokens, outcome.firstTokenMs);
			}
		},
		observe(endpoint, load) {
			const engine = table.engineOf(endpoint);
			if (engine !== undefined) {
				model.applyLoad(engine, performance.now(), load, options.reportLagMs);
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
