import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createCrashEvidence} from '../../lib/quarantine/crash-evidence.js';
import {isPartKey} from '../../lib/quarantine/prompt-part-keys.js';

const endpointCount = 13;
const downMs = 2000;
const stepMs = 10;
const warmUpMs = 5000;
const durationMs = 40_000;
const subjectCount = 40;
const maxRuns = 3;
const seeds = [1, 2, 3, 4];
/** The rule counts sends later than this after the fifth crash. */
const stableMs = 3000;
const maxLateCrashes = 3;

type Run = {digest: string; parts: string[]; isBad: boolean; runs: number; beginsAt: number; endsAt: number};

/** Requests of a load: how many begin in a step, how long each runs, and one in how many has a part that crashes endpoints. */
type Load = {perStep: number; runMs: number; badEvery: number; badParts: readonly string[]; unrelatedEveryMs: number};

/** Simulates endpoints that crash when they begin on a bad part, and now and then for other causes. */
function simulate(seed: number, clock: FakeTimers.Clock, load: Load) {
	const generator = xoroshiro128plus(seed);
	const random = (): number => (generator.next() >>> 0) / (2 ** 32); // eslint-disable-line no-bitwise
	const evidence = createCrashEvidence();
	const running: Run[][] = Array.from({length: endpointCount}, () => []);
	const upAt = Array.from({length: endpointCount}, () => 0);
	const refused = new Set<string>();
	/** Times of crashes by their cause. */
	const crashesOf = new Map(load.badParts.map(part => [part, [] as number[]]));
	const retries: Array<{at: number; run: Run}> = [];
	let requests = 0;
	let starts = 0;

	const place = (now: number, run: Run): void => {
		const up = upAt.flatMap((since, index) => since <= now ? [index] : []);
		if (up.length === 0 || [run.digest, ...run.parts].some(key => refused.has(key))) {
			return;
		}

		const beginsAt = now + 30 + (random() * 300);
		running[up[Math.floor(random() * up.length)]].push({...run, beginsAt, endsAt: beginsAt + (load.runMs * (0.2 + random()))});
	};

	const crash = (now: number, endpoint: number, cause: string | undefined): void => {
		starts++;
		const broken = running[endpoint];
		running[endpoint] = [];
		upAt[endpoint] = now + downMs;
		if (cause !== undefined) {
			crashesOf.get(cause)!.push(now);
		}

		const suspects = broken.map(({digest, parts, isBad, beginsAt}) => ({
			digest, parts, position: isBad || beginsAt >= now ? '' : String(1 + Math.floor((now - beginsAt) / 20)),
		}));
		for (const {digest} of evidence.add('vm-1', {
			endpoint: `e${endpoint}`, startedAt: starts, ageMs: 0, suspects,
		}).causes) {
			refused.add(digest);
		}

		for (const run of broken.filter(({runs}) => runs < maxRuns)) {
			retries.push({at: now + 20 + (random() * 200), run: {...run, runs: run.runs + 1}});
		}
	};

	const complete = (now: number): void => {
		for (const runs of running) {
			for (const run of runs.filter(({endsAt, isBad}) => !isBad && endsAt <= now)) {
				for (const key of [run.digest, ...run.parts]) {
					evidence.markCompleted(key);
				}

				runs.splice(runs.indexOf(run), 1);
			}
		}
	};

	const arrive = (now: number): void => {
		for (let count = 0; count < load.perStep || random() < load.perStep % 1; count++) {
			requests++;
			const isBad = now > warmUpMs && requests % load.badEvery === 0;
			const bad = isBad ? [load.badParts[Math.floor(random() * load.badParts.length)]] : [];
			place(now, {
				digest: `${isBad ? 'bad' : 'sound'}${requests}`, parts: ['part:first', `part:s${Math.floor(random() * subjectCount)}`, ...bad], isBad, runs: 1, beginsAt: 0, endsAt: 0,
			});
		}
	};

	for (let now = 0; now < durationMs; now += stepMs) {
		clock.tick(stepMs);
		complete(now);
		for (const [endpoint, runs] of running.entries()) {
			const bad = runs.find(({isBad, beginsAt}) => isBad && beginsAt <= now);
			if (bad !== undefined) {
				crash(now, endpoint, bad.parts.at(-1));
			}
		}

		for (const retry of retries.filter(({at}) => at <= now)) {
			retries.splice(retries.indexOf(retry), 1);
			place(now, retry.run);
		}

		arrive(now);
		if (now % load.unrelatedEveryMs === load.unrelatedEveryMs - stepMs) {
			crash(now, Math.floor(random() * endpointCount), undefined);
		}
	}

	const falseParts = [...refused].filter(key => isPartKey(key) && !load.badParts.includes(key));
	const falseRequests = [...refused].filter(key => key.startsWith('sound')).length;
	return {
		requests, falseParts, falseRequests, crashes: [...crashesOf.values()],
	};
}

describe('createCrashEvidence with a part that crashes endpoints', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	const usual: Load = {
		perStep: 1, runMs: 2000, badEvery: 50, badParts: ['part:bad'], unrelatedEveryMs: 4000,
	};
	const loads: Record<string, Load> = {
		'few requests in flight': {
			...usual, perStep: 0.2, runMs: 300, badEvery: 20,
		},
		'some twenty requests in flight on each endpoint': usual,
		'two hundred requests in flight on each endpoint': {...usual, perStep: 10, badEvery: 500},
		'two bad parts at once': {...usual, badEvery: 25, badParts: ['part:bad', 'part:worse']},
		'frequent crashes of other causes': {...usual, unrelatedEveryMs: 500},
	};

	const play = (seed: number, load: Load) => simulate(seed, clock, load);

	for (const [name, load] of Object.entries(loads)) {
		it(`finds it in time and refuses no sound part, with ${name}`, () => {
			// Guards against a bad part that is never found, and against sound parts that are taken for it.
			for (const seed of seeds) {
				const {requests, falseParts, falseRequests, crashes} = play(seed, load);
				const seen = `seed ${seed}: ${crashes.map(times => times.length).join(', ')} crashes`;
				assert.deepEqual(falseParts, [], seen);
				assert.isAtMost(falseRequests, requests / 2000, seen);
				for (const times of crashes) {
					const fifthAt = times[4] ?? Number.POSITIVE_INFINITY;
					assert.isAtLeast(times.length, 2, seen);
					assert.isAtMost(times.filter(at => at > fifthAt + stableMs).length, maxLateCrashes, seen);
				}
			}
		}).timeout(120_000);
	}
});
