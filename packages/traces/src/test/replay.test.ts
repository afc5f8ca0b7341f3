import {assert} from 'chai';
import fc from 'fast-check';
import {
	bestPossible, createTraceRecorder, findMissedOutcomes, formatTrace, generateTrace, parseTrace, prepareTrace, readTrace, replayFile, replayTrace, shippedTraces,
	TraceInvalidError, type ShippedTrace, type Trace, type TraceRequest,
} from '../index.js';
import {pathOfTrace} from '../lib/bench/policy-bench.js';
import {type PreparedRequest} from '../lib/replay/trace-pieces.js';

/** The requests and faults of a shipped trace before `untilMs`. */
const shorten = (name: ShippedTrace, untilMs: number): Trace => {
	const {header, requests, faults} = generateTrace(name);
	return {header, requests: requests.filter(request => request.atMs < untilMs), faults: faults.filter(fault => fault.atMs < untilMs)};
};

describe('trace replay', () => {
	it('gives the same measures in every run', async () => {
		const prepared = await prepareTrace(shorten('crash', 35_000));
		const first = replayTrace(prepared, 'hickorywalk');
		assert.deepEqual(replayTrace(prepared, 'hickorywalk'), first);
		assert.deepEqual(replayTrace(await prepareTrace(shorten('crash', 35_000)), 'hickorywalk'), first);
	});

	for (const name of shippedTraces) {
		it(`reaches the outcomes stated in ${name}, whose file equals what its generator makes`, async () => {
			const trace = await readTrace(pathOfTrace(name));
			assert.deepEqual(trace, parseTrace(formatTrace(generateTrace(name)), name));
			const {hitRateOfBest, p99FirstTokenMs, wrongfulRefusals} = trace.header.outcomes;
			assert.isNumber(hitRateOfBest);
			assert.isNumber(p99FirstTokenMs);
			assert.equal(wrongfulRefusals, 0);
			const report = await replayFile(pathOfTrace(name));
			assert.deepEqual(report.missed, []);
		});
	}

	it('reports the stated outcomes that are missed', async () => {
		const report = await replayFile(pathOfTrace('unequal'), 'round-robin');
		assert.lengthOf(report.missed, 2);
		const {outcomes} = generateTrace('unequal').header;
		assert.lengthOf(findMissedOutcomes({...report, wrongful_refusals: 1}, outcomes), 3);
	});

	it('names the line and field that make a trace invalid', () => {
		const [header] = formatTrace(shorten('crash', 100)).split('\n');
		assert.throws(() => parseTrace(`${header}\n{"kind":"request","atMs":-1}`, 'x.ndjson'), TraceInvalidError, /Line 2 of x.ndjson, field "atMs"/v);
		assert.throws(() => parseTrace('', 'x.ndjson'), TraceInvalidError, /no header/v);
		assert.throws(() => parseTrace(header.replace('"layout":1', '"layout":2'), 'x.ndjson'), TraceInvalidError, /layout 2/v);
	});

	/*
	 * Goals are shares of the best possible hit rate, so they would mean nothing
	 * if a policy could exceed it. Compares it with an exhaustive search over all
	 * evictions from one pooled cache, on prompts of one piece.
	 */
	it('finds the best hit rate that any order of eviction can reach', () => {
		const exhaustive = (uses: readonly number[], capacity: number, kept: ReadonlySet<number> = new Set()): number => {
			if (uses.length === 0) {
				return 0;
			}

			const [piece, ...rest] = uses;
			const hit = kept.has(piece) ? 1 : 0;
			const all = [...kept, piece];
			const choices = kept.size + 1 - hit <= capacity ? [new Set(all)] : all.map(dropped => new Set(all.filter(other => other !== dropped)));
			return hit + Math.max(...choices.map(choice => exhaustive(rest, capacity, choice)));
		};

		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 4}), {minLength: 1, maxLength: 9}), fc.integer({min: 1, max: 3}), (uses, capacity) => {
			const requests = uses.map(use => ({pieces: [BigInt(use)], promptTokens: 1})) as PreparedRequest[];
			assert.equal(bestPossible(requests, capacity, 1).cachedTokens, exhaustive(uses, capacity));
		}), {seed: 1, numRuns: 200});
	});

	it('records requests without their piece hashes, and keeps shared prefixes', async () => {
		const lines: TraceRequest[] = [];
		const recorder = createTraceRecorder({pieceTokens: 1024, secret: new Uint8Array(32), write: line => lines.push(line)});
		for (const pieces of [[1n, 2n], [1n, 3n]]) {
			recorder.record({
				service: 'wordsmith', workspace: 'school-1', version: 'w1', adapter: '', pieces, promptTokens: 2100, maxOutputTokens: 10, excluded: new Set(),
			}, performance.now(), 5);
		}

		const {header} = generateTrace('crash');
		const {requests: [first, second]} = await prepareTrace(parseTrace(formatTrace({header, requests: lines, faults: []}), 'recorded'));
		assert.equal(first.promptTokens, 2100);
		assert.equal(first.pieces[0], second.pieces[0]);
		assert.notEqual(first.pieces[1], second.pieces[1]);
		assert.notInclude(JSON.stringify(lines), '"1"');
	});
});
