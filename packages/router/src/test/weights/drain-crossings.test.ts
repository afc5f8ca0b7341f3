import {assert} from 'chai';
import {type RolloutModel, simulateRollout} from './rollout-model.js';

const weightsMs = 15_000;
/** Time from a naming in which all engines should run the new weights. */
const rolloutMs = weightsMs * 0.7;

const fleets: ReadonlyArray<Pick<RolloutModel, 'daemons' | 'engines'>> = [{daemons: 9, engines: 12}, {daemons: 71, engines: 42}];

/** Requests per second for each engine, and how long they compute. */
const loads: Record<string, Pick<RolloutModel, 'computeMs' | 'initialQueue'> & {ratePerEngine: number}> = {
	'half of the capacity': {ratePerEngine: 5.5, computeMs: [20, 160]},
	'as much as two thirds of the engines serve': {ratePerEngine: 7, computeMs: [20, 160]},
	'long prompts': {ratePerEngine: 3, computeMs: [100, 350]},
	'queues of 2 s': {ratePerEngine: 5, computeMs: [20, 160], initialQueue: 25},
};

describe('requests and orders to load weights', () => {
	for (const fleet of fleets) {
		for (const [name, {ratePerEngine, ...load}] of Object.entries(loads)) {
			it(`do not cross with ${fleet.daemons} daemons and ${name}`, async () => {
				// Guards against requests that engines reject because they are ordered while requests wait or arrive. With
				// a drain of at most 800 ms, whatever daemons had heard of it, the two fleets rejected 35 and 103 requests
				// with queues of 2 s; of those of the larger fleet, daemons that hadn't heard had sent 6.
				const {crossed, misdirected, doneMs} = await simulateRollout({
					seed: 1, ...fleet, ...load, weightsMs, rate: ratePerEngine * fleet.engines, lossRatio: 0.02,
				});
				assert.deepEqual([crossed, misdirected], [{unheard: 0, queueOutlasted: 0, reportLagged: 0}, 0]);
				assert.isAtMost(doneMs, rolloutMs);
			});
		}
	}

	it('do not cross where requests may be sent again and queues outlast the drain', async () => {
		// Guards against requests that are rejected although another engine could have served them.
		const {crossed, withdrawn, doneMs} = await simulateRollout({
			seed: 1, daemons: 71, engines: 42, computeMs: [20, 160], rate: 42 * 4, initialQueue: 38, repeatableRatio: 1, weightsMs,
		});
		assert.isAbove(withdrawn, 0);
		assert.deepEqual(crossed, {unheard: 0, queueOutlasted: 0, reportLagged: 0});
		assert.isAtMost(doneMs, rolloutMs);
	});

	for (const [name, {ratePerEngine, ...load}] of Object.entries({light: {ratePerEngine: 3, computeMs: [20, 160] as [number, number]}, queues: loads['queues of 2 s']})) {
		it(`have daemons expect the weights that engines run although datagrams are lost (${name})`, async () => {
			// Guards against requests that an engine refuses with 421 right after its load. Without a repeated announcement
			// of the drain and one of the end of a load, engines refused 1 and 5 requests here.
			const {misdirected} = await simulateRollout({
				seed: 2, daemons: 71, engines: 42, ...load, weightsMs, rate: ratePerEngine * 42, lossRatio: 0.1,
			});
			assert.equal(misdirected, 0);
		});
	}

	describe('with the number of loads at once', () => {
		const fleet = {daemons: 71, engines: 42, computeMs: [20, 160] as [number, number]};

		it('change a third of the engines at once at low load, and fewer under pressure while there is time', async () => {
			// Guards against rollouts that take more capacity than the service can spare.
			const longMs = weightsMs * 2;
			const idle = await simulateRollout({
				...fleet, seed: 1, weightsMs: longMs, rate: 42 * 3,
			});
			const busy = await simulateRollout({
				...fleet, seed: 1, weightsMs: longMs, rate: 42 * 8, durationMs: 25_000,
			});
			assert.equal(idle.maxOut, 14);
			assert.isAtMost(busy.maxOut, 12);
			assert.isAtMost(busy.doneMs, longMs * 0.7);
			assert.deepEqual(busy.crossed, {unheard: 0, queueOutlasted: 0, reportLagged: 0});
		});

		it('end in time although loads slow each other down', async () => {
			// Guards against a pace that takes loads for as fast as a single one.
			const {doneMs, loads: begun} = await simulateRollout({
				...fleet, seed: 1, weightsMs, rate: 42 * 5, maxFullSpeedLoads: 8,
			});
			assert.isAtMost(doneMs, rolloutMs);
			assert.lengthOf(begun, 42);
		});
	});

	it('load no version that was superseded before', async () => {
		// Guards against engines that load weights which are replaced already, and against engines that keep the oldest
		// weights since those that have just loaded change again first: the last one began its first load 12.1 s after
		// the first naming. An order that waits for the engine's last runs can't be taken back.
		const orderedAheadMs = 700;
		const namings = [1000, 3000, 5000, 7000];
		for (const fleet of fleets) {
			const {loads: begun, doneMs, crossed, misdirected} = await simulateRollout({
				...fleet, seed: 1, computeMs: [20, 160], rate: fleet.engines * 5, weightsMs, namings,
			});
			const late = begun.filter(([at, , version]) => at > (namings.at(version - 1) ?? Number.POSITIVE_INFINITY) + orderedAheadMs);
			const firstLoads = new Map(begun.toReversed().map(([at, id]) => [id, at]));
			assert.deepEqual(late, []);
			assert.lengthOf([...firstLoads], fleet.engines);
			assert.isAtMost(Math.max(...firstLoads.values()) - namings[0], rolloutMs);
			assert.isAtMost(doneMs, rolloutMs);
			assert.deepEqual([crossed, misdirected], [{unheard: 0, queueOutlasted: 0, reportLagged: 0}, 0]);
		}
	});
});
