import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {
	type Kind, type LoadModelOptions, type Outcome, replayLoad,
} from './load-model.js';

const engines = 4;
const tokensPerMs = 36.7;
/** Tokens that an engine could read in the time that it takes to answer an empty prompt. */
const baseTokens = 367;
const shortPerLong = 2.285;
const longOwnTokens = 2890;
const shortOwnTokens = 628;
const longPerSecond = engines * tokensPerMs * 1000 / (longOwnTokens + baseTokens + (shortPerLong * (shortOwnTokens + baseTokens)));

/** Urgent long prompts and patient short ones, in the proportions of deployment A. */
const kinds: readonly Kind[] = [
	{
		name: 'urgent', rank: 0, targetMs: 815, deadlineMs: 5094, sharedTokens: 6300, ownTokens: longOwnTokens, outputTokens: 13, subjects: 8, perSecond: longPerSecond,
	},
	{
		name: 'patient', rank: 2, targetMs: 2507, deadlineMs: 15_039, sharedTokens: 198, ownTokens: shortOwnTokens, outputTokens: 49, subjects: 8, perSecond: longPerSecond * shortPerLong,
	},
];

/** Start of the replay on the simulated clock. */
const startedAt = 1000;
const calmMs = 2000;
const loadMs = 16_000;
const recoveryMs = 2000;
/** Part of the load's time that isn't counted, since the patient requests of its beginning are served later. */
const settlingMs = 6000;
const loadStart = calmMs;
const loadEnd = calmMs + loadMs;

/** What was served in time while the load lasted, as a fraction of what the engines can read. */
function goodput(outcomes: readonly Outcome[]): number {
	let tokens = 0;
	for (const {isInTime, arrivedAt, endedMs, ownTokens} of outcomes) {
		const endedAt = arrivedAt + endedMs - startedAt;
		if (isInTime && endedAt >= loadStart + settlingMs && endedAt < loadEnd) {
			tokens += ownTokens + baseTokens;
		}
	}

	return tokens / (loadMs - settlingMs) / (engines * tokensPerMs);
}

const servedRatio = (outcomes: readonly Outcome[]): number => outcomes.filter(({isInTime}) => isInTime).length / outcomes.length;

describe('admission under load', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		clock.tick(startedAt);
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Replays a load between two calm times; 16 workspaces, of which one sends seven times its usual. */
	const replay = async (load: number, more: Partial<LoadModelOptions> = {}): Promise<Outcome[]> => {
		const outcomes = await replayLoad({
			clock, kinds, phases: [{ms: calmMs, load: 0.4}, {ms: loadMs, load, flood: 7}, {ms: 5000, load: 0.4}],
			engines, daemons: 3, workspaces: 16, seed: 1, tokensPerMs, slots: 64, memoryTokens: 93_670, isWarm: true, ...more,
		});
		return outcomes;
	};

	const during = (outcomes: readonly Outcome[], kind: string): Outcome[] =>
		outcomes.filter(outcome => outcome.kind === kind && outcome.arrivedAt - startedAt >= loadStart && outcome.arrivedAt - startedAt < loadEnd);

	const goodputs = new Map<number, number>();

	for (const load of [0.5, 1, 2, 4]) {
		it(`serves the urgent kind at least as well as the patient one, and all again within 2 s of the end, at ${load} times the capacity`, async () => {
			// Guards against a fleet that stays overloaded when the load has ended, and against short patient requests that take the place of long urgent ones.
			const outcomes = await replay(load);
			goodputs.set(load, goodput(outcomes));
			assert.isAtLeast(servedRatio(during(outcomes, 'urgent')), servedRatio(during(outcomes, 'patient')));
			const later = outcomes.filter(({arrivedAt}) => arrivedAt - startedAt >= loadEnd + recoveryMs);
			assert.isAbove(later.length, 50);
			assert.equal(servedRatio(later), 1);
			for (let workspace = 0; workspace < 16; workspace++) {
				const ofWorkspace = [...during(outcomes, 'urgent'), ...during(outcomes, 'patient')].filter(outcome => outcome.workspace === `w${workspace}`);
				assert.isAbove(servedRatio(ofWorkspace), 0.05, `w${workspace} is not starved`);
			}
		});
	}

	it('keeps goodput at 0.9 of its best at every load', () => {
		// Guards against capacity spent on requests that end too late: without admission, 0.34 of the capacity was used well at four times the load.
		const best = Math.max(...goodputs.values());
		for (const [load, value] of goodputs) {
			assert.isAtLeast(value, 0.9 * Math.min(best, load), `at ${load} times the capacity: ${[...goodputs].join(' ')}`);
		}
	});
});
