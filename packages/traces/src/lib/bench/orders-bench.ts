/**
 * Benchmark of orders. The first line checks generated histories of faults
 * against the executions that they led to; the others give the cost of the key
 * path over loopback sockets.
 */
import {parseArgs} from 'node:util';
import {
	exchangeFaults, type History, historyVms, runHistory, tableFaults, type Verdict,
} from '@hickorywalk/standins';
import FakeTimers from '@sinonjs/fake-timers';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {measureKeyPath} from './key-path.js';

type Pick = (from: number, to: number) => number;

function pickerOf(seed: number): Pick {
	const generator = xoroshiro128plus(seed);
	return (from, to) => uniformInt(generator, from, to);
}

function listOf<Item>(pick: Pick, most: number, item: () => Item): Item[] {
	return Array.from({length: pick(0, most)}, item);
}

function generateHistory(pick: Pick): History {
	const vm = () => pick(0, historyVms - 1);
	const atMs = () => [pick(0, 50), pick(0, 60_000), pick(200_000, 250_000)][pick(0, 2)];
	const call = () => ({
		atMs: atMs(), vm: vm(), order: pick(0, 1), keyed: pick(0, 1) === 1, idempotent: pick(0, 3) === 0,
	});
	return {
		calls: [call(), ...listOf(pick, 7, call)],
		exchanges: listOf(pick, 8, () => exchangeFaults[pick(0, exchangeFaults.length - 1)]),
		table: listOf(pick, 12, () => tableFaults[pick(0, tableFaults.length - 1)]),
		tellsStatus: pick(0, 1) === 1,
		losses: listOf(pick, 2, () => ({atMs: pick(0, 60_000), vm: vm()})),
		operatorAtMs: pick(5000, 199_000),
	};
}

function add(sum: Verdict, verdict: Verdict): Verdict {
	return {
		tried: sum.tried + verdict.tried,
		answered: sum.answered + verdict.answered,
		unknown: sum.unknown + verdict.unknown,
		refused: sum.refused + verdict.refused,
		doubled: sum.doubled + verdict.doubled,
		lost: sum.lost + verdict.lost,
		untrue_not_run: sum.untrue_not_run + verdict.untrue_not_run,
		foreign: sum.foreign + verdict.foreign,
		writes: sum.writes + verdict.writes,
		transactions: sum.transactions + verdict.transactions,
	};
}

async function checkHistories(histories: number, seed: number): Promise<Verdict> {
	const pick = pickerOf(seed);
	let sum: Verdict = {
		tried: 0, answered: 0, unknown: 0, refused: 0, doubled: 0, lost: 0, untrue_not_run: 0, foreign: 0, writes: 0, transactions: 0,
	};
	for (let index = 0; index < histories; index++) {
		const clock = FakeTimers.install({now: 1_000_000});
		try {
			sum = add(sum, await runHistory(generateHistory(pick), {advance: async ms => clock.tickAsync(ms)}));
		} finally {
			clock.uninstall();
		}
	}

	return sum;
}

/** Enough concurrent callers that intents share transactions. */
const concurrentCallers = 50;

/** Runs the benchmark: `orders [--histories N] [--seed S] [--orders N]`. */
export async function runOrdersBench(args: string[]): Promise<void> {
	const {values} = parseArgs({
		args,
		options: {
			histories: {type: 'string', default: '2000'},
			seed: {type: 'string', default: '1'},
			orders: {type: 'string', default: '2000'},
		},
	});
	const histories = Number(values.histories);
	const seed = Number(values.seed);
	const verdict = await checkHistories(histories, seed);
	const alone = await measureKeyPath(Number(values.orders), 1);
	console.log(JSON.stringify({
		bench: 'orders', histories, seed, ...verdict, key_path_p50_ms: alone.key_path_p50_ms, writes_per_order: alone.writes_per_order,
	}));
	console.log(JSON.stringify({bench: 'orders_key_path', ...alone}));
	const crowded = await measureKeyPath(Number(values.orders), concurrentCallers);
	console.log(JSON.stringify({bench: 'orders_key_path', ...crowded}));
}
