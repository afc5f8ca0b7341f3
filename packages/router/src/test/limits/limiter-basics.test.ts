import {assert} from 'chai';
import FakeTimers from '@sinonjs/fake-timers';
import {
	createFleet, largestExcess, roundingTokens, sumBy,
} from './fleet.js';

const limit = {name: 'school-1', tokensPerSecond: 1000, burstTokens: 10_000};
const ask = {workspace: 'school-1', tokens: 400, longestWaitMs: 200};

describe('createTokenLimiter', () => {
	let clock: FakeTimers.Clock;
	beforeEach(() => {
		clock = FakeTimers.install();
	});
	afterEach(() => {
		clock.uninstall();
	});

	it('grants the whole burst to one new daemon at once', async () => {
		const fleet = createFleet({limits: [limit]});
		fleet.start('a');
		const first = fleet.ask('a', {workspace: 'school-1', tokens: 10_000, longestWaitMs: 1000});
		await clock.tickAsync(200);
		const firstResult = await first;
		assert.isTrue(firstResult?.granted);
		const second = fleet.ask('a', {workspace: 'school-1', tokens: 500, longestWaitMs: 1000});
		await clock.tickAsync(1000);
		const secondResult = await second;
		assert.isTrue(secondResult?.granted);
		fleet.close();
	});

	it('moves tokens to the daemons that get requests and never exceeds the limit', async () => {
		const fleet = createFleet({limits: [limit]});
		for (const name of ['a', 'b', 'c']) {
			fleet.start(name);
		}

		await clock.tickAsync(3000);
		for (let round = 0; round < 200; round += 1) {
			void fleet.ask(['a', 'b', 'c'][round % 3], ask);
			await clock.tickAsync(100);
		}

		const granted = sumBy(fleet.charges, charge => charge.tokens);
		assert.isBelow(largestExcess(fleet.charges, limit), roundingTokens);
		assert.isAtLeast(granted, 0.9 * (10_000 + (1000 * 20)));
		fleet.close();
	});
});
