/** Generates seeded traffic of the two workloads for the shipped traces. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type TraceEndpoint, type TraceRequest} from './trace-format.js';

/** Seeded random numbers for one trace. */
export type Chance = {
	/** A number from `from` (included) to `to` (excluded). */
	between: (from: number, to: number) => number;
	/** A whole number from `from` to `to`, both included. */
	whole: (from: number, to: number) => number;
	/** One of the values, with a probability by weight. */
	pick: <Value>(values: ReadonlyArray<{value: Value; weight: number}>) => Value;
	/** Milliseconds to the next event, for independent events at a rate per second. */
	gapMs: (perSecond: number) => number;
};

/** Creates the random numbers of a seed. */
export const createChance = (seed: number): Chance => {
	const generator = xoroshiro128plus(seed);
	const next = (): number => uniformFloat64(generator);
	return {
		between: (from, to) => from + ((to - from) * next()),
		whole: (from, to) => from + Math.floor((to - from + 1) * next()),
		pick(values) {
			let total = 0;
			for (const {weight} of values) {
				total += weight;
			}

			let rest = next() * total;
			for (const {value, weight} of values) {
				rest -= weight;
				if (rest < 0) {
					return value;
				}
			}

			return values.at(-1)!.value;
		},
		gapMs: perSecond => -Math.log(1 - next()) * 1000 / perSecond,
	};
};

/** Rounds to tenths of a millisecond, which keeps the files small. */
const shortTime = (atMs: number): number => Math.round(atMs * 10) / 10;

/** Size and hardware of a fleet. */
export type FleetShape = Omit<TraceEndpoint, 'name' | 'service' | 'dataCentre'> & {
	count: number;
	/** Endpoints per lot; endpoints of one lot have the same speed. */
	lot: number;
	/** Largest deviation of a lot's speed from the mean, as a fraction. */
	spread: number;
	dataCentres: readonly string[];
};

/** Generates a fleet bought in small lots, whose speeds deviate by up to `spread`. */
export const generateFleet = (chance: Chance, service: string, shape: FleetShape): TraceEndpoint[] => {
	const endpoints: TraceEndpoint[] = [];
	let factor = 1;
	for (let index = 0; index < shape.count; index++) {
		if (index % shape.lot === 0) {
			factor = chance.between(1 - shape.spread, 1 + shape.spread);
		}

		endpoints.push({
			name: `${service}-${index + 1}`,
			service,
			dataCentre: shape.dataCentres[Math.floor(index / shape.lot) % shape.dataCentres.length],
			prefillTokensPerSecond: Math.round(shape.prefillTokensPerSecond * factor),
			decodeMsPerToken: Math.round(shape.decodeMsPerToken / factor * 10) / 10,
			batch: shape.batch,
			cachePieces: shape.cachePieces,
		});
	}

	return endpoints;
};

/** Parameters of an evening's traffic of schools. */
export type SchoolTraffic = {
	durationMs: number;
	perSecond: number;
	/** Weight of each school in the requests. */
	schools: ReadonlyArray<{name: string; weight: number}>;
	carnivals: number;
	houses: number;
	/** All carnivals are replaced after each such period; absent for never. */
	shiftEveryMs?: number;
};

/** Generates requests for certificate texts; a prompt is a carnival's preamble, a house's roll and a child's results. */
export const generateSchoolTraffic = (chance: Chance, traffic: SchoolTraffic): TraceRequest[] => {
	const requests: TraceRequest[] = [];
	const lengths = new Map<string, number>();
	const lengthOf = (name: string, from: number, to: number): number => {
		const length = lengths.get(name) ?? chance.whole(from, to);
		lengths.set(name, length);
		return length;
	};

	const schools = traffic.schools.map(({name, weight}) => ({value: name, weight}));
	for (let atMs = chance.gapMs(traffic.perSecond); atMs < traffic.durationMs; atMs += chance.gapMs(traffic.perSecond)) {
		const school = chance.pick(schools);
		const epoch = traffic.shiftEveryMs === undefined ? 0 : Math.floor(atMs / traffic.shiftEveryMs);
		const carnival = `${school}/c${epoch}.${chance.whole(1, traffic.carnivals)}`;
		const house = `${carnival}/h${chance.whole(1, traffic.houses)}`;
		requests.push({
			kind: 'request',
			atMs: shortTime(atMs),
			workspace: school,
			service: 'wordsmith',
			version: 'w1',
			adapter: '',
			parts: [
				[carnival, lengthOf(carnival, 4000, 6500)],
				[house, lengthOf(house, 1500, 3500)],
				[`child-${requests.length}`, chance.whole(200, 900)],
			],
			outputTokens: chance.whole(30, 90),
		});
	}

	return requests;
};

/** Parameters of a day's traffic of hearings. */
export type HearingTraffic = {
	durationMs: number;
	uploadsPerSecond: number;
	/** Rate of short questions that need no record, such as status and fees. */
	questionsPerSecond: number;
	workspaces: ReadonlyArray<{name: string; weight: number}>;
	/** Maximum number of questions on one record after its upload. */
	mostFollowUps: number;
};

/** Generates hearing records that are classified against standing rules, and questions on them. */
export const generateHearingTraffic = (chance: Chance, traffic: HearingTraffic): TraceRequest[] => {
	const requests: TraceRequest[] = [];
	const workspaces = traffic.workspaces.map(({name, weight}) => ({value: name, weight}));
	const rules = new Map(traffic.workspaces.map(({name}) => [name, chance.whole(2500, 6000)]));
	let texts = 0;

	const add = (atMs: number, workspace: string, parts: TraceRequest['parts']): void => {
		texts++;
		requests.push({
			kind: 'request',
			atMs: shortTime(atMs),
			workspace,
			service: 'shoki-lm',
			version: 's1',
			adapter: '',
			parts: [[`${workspace}/rules`, rules.get(workspace)!], ...parts, [`ask-${texts}`, chance.whole(40, 300)]],
			outputTokens: chance.whole(20, 80),
		});
	};

	for (let atMs = chance.gapMs(traffic.uploadsPerSecond); atMs < traffic.durationMs; atMs += chance.gapMs(traffic.uploadsPerSecond)) {
		const workspace = chance.pick(workspaces);
		const record: [string, number] = [`record-${texts}`, chance.whole(12_000, 50_000)];
		add(atMs, workspace, [record]);
		let followUpAtMs = atMs + 4000;
		for (let left = chance.whole(0, traffic.mostFollowUps); left > 0; left--) {
			followUpAtMs += chance.gapMs(0.2);
			add(followUpAtMs, workspace, [record]);
		}
	}

	for (let atMs = chance.gapMs(traffic.questionsPerSecond); atMs < traffic.durationMs; atMs += chance.gapMs(traffic.questionsPerSecond)) {
		add(atMs, chance.pick(workspaces), []);
	}

	return requests.toSorted((a, b) => a.atMs - b.atMs);
};
