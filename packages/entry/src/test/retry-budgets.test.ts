import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import fc from 'fast-check';
import {type AttemptBudget} from 'hickorywalk/routing.js';
import {wireBudgets} from '../lib/wiring/request-wiring.js';

const windowMs = 10_000;
const share = 0.2;
const extra = 58;
const daemons = 9;
const stepMs = 100;
const steps = 300;

/** What one daemon sees in one step: requests, and whether its process is killed and started again. */
const eventSchema = fc.record({daemon: fc.nat(daemons - 1), requests: fc.nat(6), isKilled: fc.boolean()});

/** Steps in which something happens; killing all at once is the worst for budgets. */
const dayArbitrary = fc.array(fc.record({
	at: fc.nat(steps - 1), events: fc.array(eventSchema, {maxLength: 12}), isHerdKill: fc.boolean(),
}), {minLength: 20, maxLength: 80});

type Day = Array<{at: number; events: Array<{daemon: number; requests: number; isKilled: boolean}>; isHerdKill: boolean}>;

describe('the retry budgets of all daemons', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	const open = (isFirstStart: boolean): AttemptBudget => wireBudgets({
		settings: {isFirstStart, retries: {share, windowMs, extra}},
		peers: {known: () => new Map(Array.from({length: daemons - 1}, (_item, index) => [`d${index}`, {}]))},
	} as unknown as Parameters<typeof wireBudgets>[0])('engines');

	/** Plays a day on which every daemon repeats as often as it may; gives requests and repeats of each step. */
	const play = (day: Day): {requests: number[]; repeats: number[]} => {
		const budgets = Array.from({length: daemons}, () => open(true));
		const requests = Array.from({length: steps}, () => 0);
		const repeats = Array.from({length: steps}, () => 0);
		for (let step = 0; step < steps; step++) {
			clock.tick(stepMs);
			for (const {events, isHerdKill} of day.filter(({at}) => at === step)) {
				for (const {daemon, requests: count, isKilled} of events) {
					if (isKilled) {
						budgets[daemon] = open(false);
					}

					for (let index = 0; index < count; index++) {
						budgets[daemon].deposit();
					}

					requests[step] += count;
				}

				for (const daemon of isHerdKill ? budgets.keys() : []) {
					budgets[daemon] = open(false);
				}
			}

			for (const budget of budgets) {
				while (budget.withdraw()) {
					repeats[step]++;
				}
			}
		}

		return {requests, repeats};
	};

	it('keep all repeats of a window within what the platform allows, whoever is killed when', () => {
		// All engines fail, and daemons are killed while they repeat all they may. A
		// process that starts again doesn't know what the one before it has spent.
		const windowSteps = windowMs / stepMs;
		const sum = (values: number[], from: number): number =>
			values.slice(Math.max(0, from), Math.max(0, from + windowSteps)).reduce((total, value) => total + value, 0);
		fc.assert(fc.property(dayArbitrary, day => {
			const {requests, repeats} = play(day);
			for (let from = 0; from + windowSteps <= steps; from++) {
				const counted = Math.max(sum(requests, from), sum(requests, from - windowSteps), sum(requests, from - (windowSteps / 2)));
				assert.isAtMost(sum(repeats, from), (share * counted) + extra);
			}
		}), {seed: 7, numRuns: 60});
	});
});
