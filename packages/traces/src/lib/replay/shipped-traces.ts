/** Generators of the traces that this package ships. */
import {
	createChance, generateFleet, generateHearingTraffic, generateSchoolTraffic, type Chance, type FleetShape, type SchoolTraffic,
} from './generate-traffic.js';
import {
	traceLayout, type Trace, type TraceEndpoint, type TraceFault, type TraceHeader, type TraceRequest,
} from './trace-format.js';

/** Definition of one shipped trace. */
type TraceDefinition = {
	about: string;
	seed: number;
	outcomes: TraceHeader['outcomes'];
	fleet: (chance: Chance) => TraceEndpoint[];
	requests: (chance: Chance) => TraceRequest[];
	faults?: TraceFault[];
};

const hobart = ['hobart-a', 'hobart-b', 'launceston', 'burnie'];
const kyushu = ['fukuoka', 'kumamoto', 'oita'];
const routers = 6;
const pieceTokens = 1024;

const wordsmith = (change: Partial<FleetShape> = {}) => (chance: Chance): TraceEndpoint[] =>
	generateFleet(chance, 'wordsmith', {
		count: 13, lot: 3, spread: 0.25, dataCentres: hobart, prefillTokensPerSecond: 10_000, decodeMsPerToken: 18, batch: 16, cachePieces: 96, ...change,
	});

const shokiLm = (chance: Chance): TraceEndpoint[] => generateFleet(chance, 'shoki-lm', {
	count: 13, lot: 4, spread: 0.25, dataCentres: kyushu, prefillTokensPerSecond: 16_000, decodeMsPerToken: 20, batch: 16, cachePieces: 420,
});

const schools = [
	{name: 'school-1', weight: 5}, {name: 'school-2', weight: 2}, {name: 'school-3', weight: 1}, {name: 'school-4', weight: 1}, {name: 'school-5', weight: 1},
];
const evenSchools = schools.map(({name}) => ({name, weight: 1}));

const schoolTraffic = (change: Partial<SchoolTraffic> = {}) => (chance: Chance): TraceRequest[] =>
	generateSchoolTraffic(chance, {
		durationMs: 90_000, perSecond: 36, schools: evenSchools, carnivals: 3, houses: 6, ...change,
	});

const silences = (): TraceFault[] => {
	const faults: TraceFault[] = [];
	for (let count = 0; count < 24; count++) {
		faults.push({
			kind: 'silent', atMs: 15_000 + (count * 2500), router: count % routers, endpoint: `wordsmith-${1 + ((count * 5) % 13)}`,
		});
	}

	return faults;
};

/** No request may be refused: a replay has no rate limits. */
const expectedOutcomes = (hitRateOfBest: number, p99FirstTokenMs: number): TraceHeader['outcomes'] => ({hitRateOfBest, p99FirstTokenMs, wrongfulRefusals: 0});

const traceDefinitions = {
	evening: {
		about: 'The evening before assembly: thousands of certificates over nested preambles; one school sends five times as much as others.',
		seed: 11,
		outcomes: expectedOutcomes(0.98, 4000),
		fleet: wordsmith(),
		requests: schoolTraffic({perSecond: 55, schools}),
	},
	hearings: {
		about: 'Long hearing records against standing rules, follow-up questions on them, and short questions that need no record.',
		seed: 12,
		outcomes: expectedOutcomes(0.96, 8000),
		fleet: shokiLm,
		requests: chance => generateHearingTraffic(chance, {
			durationMs: 120_000, uploadsPerSecond: 1.6, questionsPerSecond: 12, mostFollowUps: 8,
			workspaces: [{name: 'court-1', weight: 4}, {name: 'court-2', weight: 2}, {name: 'firm-1', weight: 1}, {name: 'firm-2', weight: 1}, {name: 'clerks-1', weight: 1}],
		}),
	},
	shift: {
		about: 'All hot preambles are replaced every 20 seconds.',
		seed: 13,
		outcomes: expectedOutcomes(0.92, 8500),
		fleet: wordsmith(),
		requests: schoolTraffic({shiftEveryMs: 20_000}),
	},
	crash: {
		about: 'Engines crash in mid-stream and come back empty after two seconds.',
		seed: 14,
		outcomes: expectedOutcomes(0.95, 5000),
		fleet: wordsmith(),
		requests: schoolTraffic(),
		faults: [
			{
				kind: 'crash', atMs: 30_000, endpoints: ['wordsmith-4'], downMs: 2000,
			},
			{
				kind: 'crash', atMs: 50_000, endpoints: ['wordsmith-8', 'wordsmith-9'], downMs: 2000,
			},
		],
	},
	restarts: {
		about: 'Five of six routers restart at once, later all six.',
		seed: 15,
		outcomes: expectedOutcomes(0.97, 7500),
		fleet: wordsmith(),
		requests: schoolTraffic(),
		faults: [
			{kind: 'router-restart', atMs: 40_000, routers: [0, 1, 2, 3, 4]},
			{kind: 'router-restart', atMs: 65_000, routers: [0, 1, 2, 3, 4, 5]},
		],
	},
	'events-lost': {
		about: 'Cache events and load reports are lost for a minute while preambles change.',
		seed: 16,
		outcomes: expectedOutcomes(0.95, 10_000),
		fleet: wordsmith(),
		requests: schoolTraffic({shiftEveryMs: 30_000}),
		faults: [{kind: 'events-lost', atMs: 15_000, untilMs: 75_000}],
	},
	'rack-lost': {
		about: 'A rack of three engines is lost for 30 seconds and comes back empty.',
		seed: 17,
		outcomes: expectedOutcomes(0.95, 6500),
		fleet: wordsmith(),
		requests: schoolTraffic(),
		faults: [{
			kind: 'crash', atMs: 35_000, endpoints: ['wordsmith-4', 'wordsmith-5', 'wordsmith-6'], downMs: 30_000,
		}],
	},
	silent: {
		about: 'Open connections go silent one after the other while new ones work.',
		seed: 18,
		outcomes: expectedOutcomes(0.96, 4500),
		fleet: wordsmith(),
		requests: schoolTraffic(),
		faults: silences(),
	},
	unequal: {
		about: 'Lots of endpoints differ in speed by several times.',
		seed: 19,
		outcomes: expectedOutcomes(0.96, 3000),
		fleet: wordsmith({spread: 0.7}),
		requests: schoolTraffic({perSecond: 30}),
	},
	evictions: {
		about: 'Small caches: a prefix that is not used is evicted within seconds.',
		seed: 20,
		outcomes: expectedOutcomes(0.92, 7500),
		fleet: wordsmith({cachePieces: 40}),
		requests: schoolTraffic({perSecond: 30, schools}),
	},
} as const satisfies Record<string, TraceDefinition>;

export type ShippedTrace = keyof typeof traceDefinitions;

/** Names of the shipped traces. */
export const shippedTraces = Object.keys(traceDefinitions) as ShippedTrace[];

/** Generates a shipped trace; the same at every call. */
export const generateTrace = (name: ShippedTrace): Trace => {
	const definition: TraceDefinition = traceDefinitions[name];
	const chance = createChance(definition.seed);
	const endpoints = definition.fleet(chance);
	const requests = definition.requests(chance);
	return {
		header: {
			kind: 'header', layout: traceLayout, name, about: definition.about, seed: definition.seed, routers, pieceTokens, endpoints, outcomes: definition.outcomes,
		},
		requests,
		faults: definition.faults ?? [],
	};
};
