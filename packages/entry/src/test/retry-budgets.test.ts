import process from 'node:process';
import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import fc from 'fast-check';
import {
	type Played, playRetries, type RetryEvent, stepMs, worstExcess,
} from './retry-history.js';

const histories = Number(process.env.RETRY_HISTORIES ?? 30);
const seed = Number(process.env.RETRY_SEED ?? 7);
const windowMs = 10_000;
const share = 0.2;
const steps = 1000;

const kinds: ReadonlyArray<RetryEvent['kind']> = ['requests', 'requests', 'requestsToAll', 'requestsToAll', 'kill', 'killAll', 'stop', 'add', 'cut', 'cutWrites', 'tableDown', 'restore'];

const eventArbitrary: fc.Arbitrary<RetryEvent> = fc.record({
	at: fc.nat(steps - 1), kind: fc.constantFrom(...kinds), daemon: fc.nat(20), count: fc.nat(30),
});

const historyArbitrary = fc.record({
	events: fc.array(eventArbitrary, {minLength: 5, maxLength: 60}),
	daemons: fc.integer({min: 1, max: 12}),
	extra: fc.integer({min: 0, max: 200}),
	maxWaitMs: fc.constantFrom(0, 500, 6000, 15_000),
	seed: fc.nat(),
});

describe('the retry budgets of all daemons', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({now: 1_700_000_000_000, toFake: ['performance', 'setTimeout', 'clearTimeout', 'Date']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	const bound = {share, windowMs, extra: 58};

	const play = async (events: readonly RetryEvent[], more: {daemons?: number; steps?: number} = {}): Promise<Played> => playRetries({
		clock, bound, daemons: 9, steps: 600, maxWaitMs: 0, events, seed: 1, ...more,
	});

	it('keep the retries of every window within the platform\'s bound, whichever daemons are killed and when', async function () {
		this.timeout(60_000 + (histories * 5000));
		await fc.assert(fc.asyncProperty(historyArbitrary, async ({extra, ...history}) => {
			const played = await playRetries({
				clock, steps, bound: {share, windowMs, extra}, ...history,
			});
			assert.isAtMost(worstExcess(played, {share, windowMs, extra}), 0);
		}), {seed, numRuns: histories, endOnFailure: true});
	});

	it('keep that bound when all daemons use up their parts, are killed, and use up what they get then', async () => {
		// Guards against a process that repeats what its predecessor has used up.
		const played = await play([100, 140, 180, 220].flatMap(at => [{
			at, kind: 'killAll', daemon: 0, count: 0,
		}]));
		assert.isAtMost(worstExcess(played, bound), 0);
	});

	it('grant most of the fixed number to daemons without other traffic', async () => {
		// Guards against budgets that refuse what is owed.
		const {repeats, parts} = await play([]);
		const lastWindow = repeats.slice(-windowMs / stepMs).reduce((sum, count) => sum + count, 0);
		assert.isAtLeast(parts.reduce((sum, units) => sum + units, 0), bound.extra * 0.7);
		assert.isAtLeast(lastWindow, bound.extra * 0.6);
	});

	it('grant most of the share of steady traffic', async () => {
		// Guards against budgets that refuse what is owed.
		const {requests, repeats} = await play(Array.from({length: 600}, (_item, at) => ({
			at, kind: 'requestsToAll', daemon: 0, count: 2,
		})));
		const sum = (counts: number[]): number => counts.slice(-3 * windowMs / stepMs).reduce((total, count) => total + count, 0);
		assert.isAtLeast(sum(repeats), sum(requests) * share * 0.9);
	});

	it('divide the fixed number anew when daemons are added, and when others stop', async () => {
		const added = await play([100, 110, 120].map(at => ({
			at, kind: 'add', daemon: 0, count: 0,
		})), {steps: 800});
		assert.lengthOf(added.parts, 12);
		assert.isAtLeast(Math.min(...added.parts), 2);
		const stopped = await play([100, 110, 120, 130, 140, 150].map(at => ({
			at, kind: 'stop', daemon: 0, count: 0,
		})), {steps: 800});
		assert.lengthOf(stopped.parts, 3);
		assert.isAtLeast(stopped.parts.reduce((sum, units) => sum + units, 0), bound.extra * 0.7);
	});

	it('give parts again after the table came back from an older copy', async () => {
		const {parts} = await play([{
			at: 300, kind: 'restore', daemon: 0, count: 20,
		}], {steps: 1400});
		assert.isAtLeast(parts.reduce((sum, units) => sum + units, 0), bound.extra * 0.7);
	});
});
