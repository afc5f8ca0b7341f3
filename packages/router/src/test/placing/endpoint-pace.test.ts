import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createEndpointLoadTracker, type EndpointLoadTracker, firstMsAtUsualPace} from '../../placing.js';
import {reportOf} from '../peers/empty-report.js';

describe('pace of endpoints', () => {
	let clock: FakeTimers.Clock;
	let tracker: EndpointLoadTracker;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
		clock.tick(1000);
		tracker = createEndpointLoadTracker();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('has its full weight at first and hardly any after 1.4 s', () => {
		// Guards against an endpoint that is avoided for seconds after a spell of some hundred ms.
		assert.equal(tracker.paceRatio('e1'), 1);
		tracker.recordPace('e1', 2.5);
		assert.approximately(tracker.paceRatio('e1'), 2.5, 0.01);
		clock.tick(1400);
		// The mean, of which this figure is the first, is 1.3.
		assert.isBelow(tracker.paceRatio('e1'), 1.42);
	});

	it('has its weight for long where it has been steady, and for a shorter time where it changes often', () => {
		// Guards against one fixed time: a figure that is steady for minutes would be forgotten between two requests.
		for (let at = 0; at < 20_000; at += 200) {
			tracker.recordPace('steady', 4);
			tracker.recordPace('changing', at % 1000 < 200 ? 2.5 : 1);
			clock.tick(200);
		}

		tracker.recordPace('changing', 2.5);
		clock.tick(3000);
		assert.approximately(tracker.paceRatio('steady'), 4, 0.1);
		// The mean of the figures is 1.3.
		assert.isBelow(tracker.paceRatio('changing'), 1.4);
	});

	it('of peers counts with its age, and a later figure replaces it', () => {
		tracker.applyPeerReport(reportOf('vm-2', {paces: [['e1', 400, 0], ['e2', 400, 1200]]}));
		assert.approximately(tracker.paceRatio('e1'), 4, 0.01);
		assert.isBelow(tracker.paceRatio('e2'), tracker.paceRatio('e1') - 0.5);
		clock.tick(100);
		tracker.recordPace('e1', 1);
		assert.approximately(tracker.paceRatio('e1'), 1, 0.01);
		tracker.applyPeerReport(reportOf('vm-2', {paces: [['e1', 400, 150]]}));
		assert.approximately(tracker.paceRatio('e1'), 1, 0.01);
	});

	it('is reported with its age while it is useful, only if this daemon got it and it isn\'t always as usual', () => {
		// Guards against reports that grow by one figure for each endpoint, and against figures that daemons pass on in circles.
		tracker.recordPace('usual', 1);
		tracker.recordPace('e1', 2.5);
		tracker.applyPeerReport(reportOf('vm-2', {paces: [['e2', 400, 0]]}));
		clock.tick(200);
		assert.deepEqual(tracker.reportPaces(), [['e1', 250, 200]]);
		clock.tick(5000);
		assert.isEmpty(tracker.reportPaces());
		tracker.recordPace('e1', 1);
		tracker.forget('e1');
		assert.isEmpty(tracker.reportPaces());
		assert.equal(tracker.paceRatio('e1'), 1);
	});

	it('is clipped, so that a faulty figure doesn\'t exclude an endpoint', () => {
		tracker.recordPace('e1', 1e9);
		assert.isAtMost(tracker.paceRatio('e1'), 10);
	});

	it('isn\'t learnt as the speed of an engine', () => {
		// Guards against an engine that gets few prompts long after a slow spell; engines of two speeds are still told apart.
		const learn = (id: string, speed: number, pace: number): void => {
			for (let count = 0; count < 50; count++) {
				const firstMs = (50 + (4000 * 0.02)) * speed * pace;
				tracker.updateEstimates(id, firstMsAtUsualPace(firstMs, pace, pace), 4000, 0);
				tracker.updateEstimates(id, firstMsAtUsualPace(50 * speed * pace, pace, pace), 0, 0);
			}
		};

		learn('usual', 1, 1);
		learn('slowed', 1, 2.5);
		learn('slow', 2, 1);
		assert.approximately(tracker.msPerToken('slowed'), tracker.msPerToken('usual'), 1e-6);
		assert.approximately(tracker.msPerToken('slow') / tracker.msPerToken('usual'), 2, 0.1);
		assert.equal(firstMsAtUsualPace(100, 2, undefined), 100);
	});
});
