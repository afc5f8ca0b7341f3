import {assert} from 'chai';
import {
	createDistanceRule, type DistanceEstimate, type DistanceNeed, type DistanceRule,
} from '../../lib/placing/distance-rule.js';

const long: DistanceNeed = {
	service: 'engines', targetMs: 815, leftMs: 815, rank: 0, bytes: 10_200,
};
const short: DistanceNeed = {
	service: 'engines', targetMs: 2507, leftMs: 2507, rank: 2, bytes: 5000,
};

/** A request that takes 100 ms itself. */
const after = (waitMs: number, meanWaitMs = waitMs): DistanceEstimate => ({expectedMs: 100 + waitMs, waitMs, meanWaitMs});

describe('createDistanceRule', () => {
	let rule: DistanceRule;

	beforeEach(() => {
		rule = createDistanceRule();
	});

	it('keeps a request that is answered well within its target latency, however much faster others are', () => {
		assert.isTrue(rule.stays(long, after(100), true));
		assert.isFalse(rule.stays(long, after(100), false));
		assert.isFalse(rule.stays({...long, leftMs: 150}, after(100), true));
		assert.isFalse(rule.stays(long, {expectedMs: 600, waitMs: 20, meanWaitMs: 20}, true));
	});

	it('counts the mean wait of the data centre at an engine that seems idle', () => {
		// Guards against requests that all stay for the same engine, whose other requests their daemons don't know yet:
		// prompts that were expected after 240 ms began after 900 ms.
		assert.isFalse(rule.stays(long, after(0, 200), true));
	});

	it('lets a request leave only where that saves more time than its bytes are worth', () => {
		assert.isUndefined(rule.reasonToLeave(long, after(200), after(170)));
		assert.equal(rule.reasonToLeave(long, after(200), after(50)), 'slower');
		assert.equal(rule.reasonToLeave({...long, bytes: 2000}, after(200), after(170)), 'slower');
		assert.isUndefined(rule.reasonToLeave(long, after(200), after(250)));
	});

	it('sends a request that would miss its target latency wherever it is met, and elsewhere only if that is much earlier', () => {
		assert.equal(rule.reasonToLeave(long, after(480), after(460)), 'late');
		assert.equal(rule.reasonToLeave(long, after(2000), after(1000)), 'late');
		assert.isUndefined(rule.reasonToLeave(long, after(2000), after(1900)));
		assert.equal(rule.reasonToLeave({...long, leftMs: -50}, after(200), after(50)), 'late');
	});

	it('begins pressure at a longer mean wait than it ends, for each target latency', () => {
		// Guards against requests that alternate between data centres.
		const isPressed = (waitMs: number): boolean => {
			rule.stays(long, after(waitMs), true);
			return rule.isPressed(long);
		};

		assert.deepEqual([100, 150, 170, 150, 100, 70, 100, 150].map(waitMs => isPressed(waitMs)), [false, false, true, true, true, false, false, false]);
		isPressed(170);
		assert.isFalse(rule.isPressed({...long, service: 'others'}));
		assert.isFalse(rule.isPressed(short));
	});

	it('keeps a part of the capacity for a data centre\'s own callers, more of it from lower ranks', () => {
		assert.deepEqual([0.5, 0.8, 0.9].map(used => [rule.mayUse(long, used), rule.mayUse(short, used)]), [[true, true], [true, false], [false, false]]);
	});
});
