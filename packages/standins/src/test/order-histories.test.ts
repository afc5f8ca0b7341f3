import process from 'node:process';
import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import fc from 'fast-check';
import {
	exchangeFaults, type History, historyVms, runHistory, tableFaults,
} from '../index.js';

/** Number of histories to run; `ORDER_HISTORIES=10000 npm test` runs more. */
const histories = Number(process.env.ORDER_HISTORIES ?? 300);
const seed = Number(process.env.ORDER_SEED ?? 1);

const vm = fc.integer({min: 0, max: historyVms - 1});
const anyHistory: fc.Arbitrary<History> = fc.record({
	calls: fc.array(fc.record({
		atMs: fc.oneof(fc.integer({min: 0, max: 50}), fc.integer({min: 0, max: 60_000}), fc.integer({min: 200_000, max: 250_000})),
		vm,
		order: fc.integer({min: 0, max: 1}),
		keyed: fc.boolean(),
		idempotent: fc.integer({min: 0, max: 3}).map(number => number === 0),
	}), {minLength: 1, maxLength: 8}),
	exchanges: fc.array(fc.constantFrom(...exchangeFaults), {maxLength: 8}),
	table: fc.array(fc.constantFrom(...tableFaults), {maxLength: 12}),
	tellsStatus: fc.boolean(),
	losses: fc.array(fc.record({atMs: fc.integer({min: 0, max: 60_000}), vm}), {maxLength: 2}),
	operatorAtMs: fc.integer({min: 5000, max: 199_000}),
});

async function play(history: History) {
	const clock = FakeTimers.install({now: 1_000_000});
	try {
		return await runHistory(history, {advance: async ms => clock.tickAsync(ms)});
	} finally {
		clock.uninstall();
	}
}

function check(verdict: Awaited<ReturnType<typeof play>>): void {
	const {doubled, lost, untrue_not_run, foreign} = verdict;
	assert.deepEqual({
		doubled, lost, untrue_not_run, foreign,
	}, {
		doubled: 0, lost: 0, untrue_not_run: 0, foreign: 0,
	});
}

const call = (atMs: number, order: number, rest: Partial<History['calls'][number]> = {}) => ({
	atMs, vm: 0, order, keyed: true, idempotent: false, ...rest,
});
const withoutFaults = {
	exchanges: [], table: [], tellsStatus: false, losses: [], operatorAtMs: 60_000,
};

/** Shrunk histories; each one failed without the safeguard that it is named after. */
const shrunk: Record<string, History> = {
	'the last check before the first byte is sent': {
		...withoutFaults, calls: [call(200_000, 0), call(0, 0), call(0, 0, {keyed: false})], exchanges: ['answered', 'paused'], operatorAtMs: 100_000,
	},
	'the condition on the intent': {...withoutFaults, calls: [call(0, 0), call(0, 0)]},
	'the token comparison at read-back': {...withoutFaults, calls: [call(0, 0), call(4, 0)], table: ['none', 'none', 'lost']},
	'the release of an intent': {...withoutFaults, calls: [call(200_000, 1), call(0, 1), call(0, 1)], table: ['dropped']},
	'the minimum age of an order before it is settled as not run': {
		...withoutFaults, calls: [call(0, 0, {keyed: false})], exchanges: ['late_run'], operatorAtMs: 20_004,
	},
	'the state kept of an earlier attempt': {
		...withoutFaults, calls: [call(0, 0, {idempotent: true})], exchanges: ['late_run', 'paused'], operatorAtMs: 5000,
	},
	'the index of open orders, for an order of a lost VM': {
		...withoutFaults, calls: [call(0, 0, {vm: 1})], exchanges: ['silent_run'], losses: [{atMs: 4, vm: 1}],
	},
	'the record of an order whose response was truncated and which a status request finds': {
		...withoutFaults, calls: [call(0, 0, {keyed: false})], exchanges: ['truncated'], tellsStatus: true,
	},
};

describe('Histories of orders under faults', () => {
	it('never run an order twice, lose an order, or report "not run" for one that ran', async function () {
		this.timeout(0);
		await fc.assert(fc.asyncProperty(anyHistory, async history => {
			check(await play(history));
		}), {seed, numRuns: histories});
	});

	for (const [safeguard, history] of Object.entries(shrunk)) {
		it(`need ${safeguard}`, async () => {
			check(await play(history));
		});
	}
});
