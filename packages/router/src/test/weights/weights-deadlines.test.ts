import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createFleetView, type FleetView} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {collectUncaught} from '../collect-uncaught.js';
import {createWeightsDeadlines, type WeightsDeadlines} from '../../weights.js';

const weightsMs = 8000;
const requested = {model: 'm', weights: 1};

describe('createWeightsDeadlines', () => {
	let clock: FakeTimers.Clock;
	let view: FleetView;
	let deadlines: WeightsDeadlines;
	/** Times at which watched requests were told that their weights are too old. */
	let notices: number[];

	const watch = (weights = 1): (() => void) => deadlines.watch({
		...requested,
		weights,
		onOutdated() {
			notices.push(performance.now());
		},
	});

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		view = createFleetView(createSilentLog());
		view.acceptWeights('m', 1, 0);
		deadlines = createWeightsDeadlines({view, weightsMs});
		notices = [];
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('withdraws a request whose weights are replaced while it waits, with time left for the cancellation to arrive', () => {
		// Guards against requests that were sent on the newest weights and never looked at again.
		watch();
		clock.tick(5000);
		view.acceptWeights('m', 2, 0);
		clock.tick(weightsMs);
		assert.isAtMost(notices[0], 5000 + weightsMs - 500);
		assert.isAtLeast(notices[0], 5000 + (weightsMs * 0.8));
	});

	it('counts from the first newer version, however many follow', () => {
		// Guards against a bound that starts again with each naming.
		view.acceptWeights('m', 2, 0);
		watch();
		for (let version = 3; version < 20; version++) {
			clock.tick(500);
			view.acceptWeights('m', version, 0);
		}

		assert.isNotEmpty(notices);
		assert.isBelow(notices[0], weightsMs);
	});

	it('withdraws within a moment when it learns that the weights are older than it took them for', () => {
		// Guards against a daemon that dates a naming too late and keeps to that when its peers know better.
		view.acceptWeights('m', 2, 0);
		watch();
		clock.tick(1000);
		view.acceptNamingAge('m', 2, weightsMs);
		clock.tick(250);
		assert.lengthOf(notices, 1);
	});

	it('goes on to notify requests after the callback of one threw an error', async () => {
		// Guards against requests that are never told again that their weights were replaced.
		const uncaught = collectUncaught();
		let calls = 0;
		try {
			deadlines.watch({
				...requested,
				onOutdated() {
					calls++;
					throw new Error('Thrown by a test.');
				},
			});
			watch();
			view.acceptWeights('m', 2, 0);
			clock.tick(weightsMs * 2);
			view.acceptWeights('m', 3, 0);
		} finally {
			await uncaught.restore();
		}

		assert.isAbove(calls, 4);
		assert.lengthOf(notices, calls);
		assert.lengthOf(uncaught.errors, calls);
	});

	it('leaves requests alone that have ended, and those on the newest weights', () => {
		watch()();
		watch(2);
		view.acceptWeights('m', 2, 0);
		clock.tick(weightsMs * 2);
		assert.isEmpty(notices);
	});

	it('tells a request again while it goes on, since a place elsewhere may become free', () => {
		// Guards against a response that stays on an engine that waits for it, because it could not be moved at one moment.
		view.acceptWeights('m', 2, 0);
		watch();
		clock.tick(weightsMs + 1000);
		assert.deepEqual(notices, Array.from({length: 8}, (_item, index) => (weightsMs * 0.9) + (index * 250)));
	});

	it('tells a request nothing more once its watch has ended', () => {
		const end = deadlines.watch({
			...requested,
			onOutdated() {
				end();
				notices.push(performance.now());
			},
		});
		clock.tick(1000);
		view.acceptWeights('m', 2, 0);
		clock.tick(weightsMs * 2);
		assert.lengthOf(notices, 1);
	});

	it('lets nothing be sent that is expected to begin late, or on weights of unknown age', () => {
		assert.isTrue(deadlines.maySend(requested, weightsMs));
		view.acceptWeights('m', 2, 0);
		assert.isTrue(deadlines.maySend(requested, 1000));
		assert.isFalse(deadlines.maySend(requested, weightsMs));
		clock.tick(weightsMs * 0.8);
		assert.isFalse(deadlines.maySend(requested, 0));
		view.acceptWeights('other', 5, Number.POSITIVE_INFINITY);
		assert.isFalse(deadlines.maySend({model: 'other', weights: 4}, 0));
		assert.isTrue(deadlines.maySend({model: 'other', weights: 5}, 0));
	});
});
