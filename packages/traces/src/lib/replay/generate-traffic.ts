/** Seeded traffic of the two workloads, for the shipped traces. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type TraceEndpoint, type TraceRequest} from './trace-format.js';

/** Random numbers for one trace. */
export type Chance = {
	/** From `from` up to `to`. */
	between: (from: number, to: number) => number;
	/** A whole number from `from` to `to`, both included. */
	whole: (from: number, to: number) => number;
	/** One of some values, by weight. */
	pick: <Value>(values: ReadonlyArray<{value: Value; weight: number}>) => Value;
	/** Time to the next of events that come at a rate a second, in milliseconds. */
	gapMs: (perSecond: number) => number;
};

/** Opens the random numbers of a seed. */
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

/** Times in whole tenths of a millisecond keep the files small. */
const shortTime = (atMs: number): number => Math.round(atMs * 10) / 10;

/** What a fleet is made of. */
export type FleetShape = Omit<TraceEndpoint, 'name' | 'service' | 'dataCentre'> & {
	count: number;
	/** Endpoints of one lot. */
	lot: number;
	/** How far the speed of a lot may be from the middle, as a share. */
	spread: number;
	dataCentres: readonly string[];
};

/** A fleet bought in small lots: lots differ in speed by up to `spread`. */
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

/** How a school's evening goes. */
export type SchoolTraffic = {
	durationMs: number;
	perSecond: number;
	/** Share of each school in the requests. */
	schools: ReadonlyArray<{name: string; weight: number}>;
	carnivals: number;
	houses: number;
	/** Carnivals are others after each such time; none for never. */
	shiftEveryMs?: number;
};

/** Certificate wording: a carnival's preamble, a house's roll, a child's results. */
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

/** How a day of hearings goes. */
export type HearingTraffic = {
	durationMs: number;
	uploadsPerSecond: number;
	/** Short questions that need no record, such as status and fees. */
	questionsPerSecond: number;
	workspaces: ReadonlyArray<{name: string; weight: number}>;
	/** Most questions on one record after its upload. */
	mostFollowUps: number;
};

/** Hearing records classified against standing rules, with questions on them. */
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
