/** Times decisions of the placer at the target fleet size. */
import {type EngineLoad, type PlacementRequest} from 'hickorywalk/gateway.js';
import {createPlacer, type PlacementEndpoint} from 'hickorywalk/routing.js';
import {createChance, type Chance} from '../replay/generate-traffic.js';

const serviceCount = 10;
const replicasEach = 1200;
const preamblesEach = 200;
const requestCount = 60_000;
const warmUpCount = 20_000;
const pieceTokens = 1024;

/** Measured times: `_us` in microseconds, `_ms` in milliseconds. */
export type DecisionTimes = {
	bench: 'decisions';
	services: number;
	replicas: number;
	place_us_mean: number;
	place_us_p50: number;
	place_us_p99: number;
	learn_us_mean: number;
	set_endpoints_ms: number;
	remembered_prefixes: number;
};

const maxUint32 = 0xFF_FF_FF_FF;

const hash = (chance: Chance): bigint => (BigInt(chance.whole(0, maxUint32)) * (2n ** 32n)) + BigInt(chance.whole(0, maxUint32));

/** Generates requests over shared preambles, a few of them hot; each request ends in pieces of its own. */
const generateRequests = (chance: Chance): PlacementRequest[] => {
	const preambles = Array.from({length: preamblesEach * serviceCount}, () => Array.from({length: 5}, () => hash(chance)));
	return Array.from({length: requestCount}, () => {
		const preamble = Math.floor((chance.between(0, 1) ** 3) * preambles.length);
		const pieces = [...preambles[preamble], hash(chance), hash(chance), hash(chance)];
		return {
			service: `service-${preamble % serviceCount}`, workspace: 'school-1', version: 'w1', adapter: '', pieces,
			promptTokens: (pieces.length * pieceTokens) + 200, maxOutputTokens: 100, excluded: new Set<string>(),
		};
	});
};

const loadFrom = (chance: Chance): EngineLoad => ({
	incarnation: 'p1', version: 'w1', running: chance.whole(0, 8), waiting: 0, pendingPromptTokens: chance.whole(0, 4000),
});

/** Places, starts and finishes requests one after another, and times it. */
export const timeDecisions = (): DecisionTimes => {
	const chance = createChance(1);
	const placer = createPlacer({random: () => chance.between(0, 1)});
	const endpoints: PlacementEndpoint[] = [];
	for (let service = 0; service < serviceCount; service++) {
		for (let replica = 0; replica < replicasEach; replica++) {
			endpoints.push({
				name: `s${service}-${replica}`, service: `service-${service}`, dataCentre: 'a', usable: true,
			});
		}
	}

	const setAt = performance.now();
	placer.setEndpoints(endpoints);
	const setMs = performance.now() - setAt;
	const placeUs: number[] = [];
	let learnUs = 0;
	for (const [index, request] of generateRequests(chance).entries()) {
		const load = loadFrom(chance);
		const from = performance.now();
		const placement = placer.place(request)!;
		const placed = performance.now();
		placer.started(request, placement);
		placer.finished(request, placement, {
			endpoint: placement.endpoint, result: 'answered', load, promptTokens: request.promptTokens, cachedTokens: 5 * pieceTokens, outputTokens: 50, firstTokenMs: 300,
		});
		if (index >= warmUpCount) {
			learnUs += (performance.now() - placed) * 1000;
			placeUs.push((placed - from) * 1000);
		}
	}

	placeUs.sort((a, b) => a - b);
	const round = (value: number): number => Number(value.toFixed(1));
	return {
		bench: 'decisions',
		services: serviceCount,
		replicas: endpoints.length,
		place_us_mean: round(placeUs.reduce((sum, value) => sum + value, 0) / placeUs.length),
		place_us_p50: round(placeUs[Math.floor(placeUs.length * 0.5)]),
		place_us_p99: round(placeUs[Math.floor(placeUs.length * 0.99)]),
		learn_us_mean: round(learnUs / placeUs.length),
		set_endpoints_ms: round(setMs),
		remembered_prefixes: placer.rememberedPrefixes(),
	};
};
