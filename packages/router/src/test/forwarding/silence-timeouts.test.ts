import {assert} from 'chai';
import {type Call} from '../../lib/forwarding/call.js';
import {silenceTimeouts} from '../../lib/forwarding/silence-timeouts.js';

const route = {
	kind: 'stream', isResumable: true, targetMs: 600, targetPauseMs: 250, maxEndpoints: 2,
};

/** The parts of a call that the timeouts depend on. */
const call = {route, attempts: 1, deadlineAt: performance.now() + 5000} as unknown as Call;

describe('silenceTimeouts', () => {
	it('are longer at a slow endpoint, so that a slow spell isn\'t taken for silence, but bounded', () => {
		// Guards against streams that are moved, and endpoints that are ejected, because work takes 2.5
		// times as long for some hundred ms: a pause of 450 ms between two events becomes one of 1,125 ms.
		const usual = silenceTimeouts(call);
		assert.deepEqual(silenceTimeouts(call, 1), usual);
		assert.deepEqual(silenceTimeouts(call, 0.5), usual);
		assert.isAbove(silenceTimeouts(call, 2.5).eventMs, 1125);
		assert.equal(silenceTimeouts(call, 2.5).headMs, usual.headMs * 2.5);
		assert.equal(silenceTimeouts(call, 100).headMs, usual.headMs * 3);
	});
});
