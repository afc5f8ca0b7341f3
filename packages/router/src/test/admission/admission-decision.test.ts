import {assert} from 'chai';
import fc from 'fast-check';
import {
	type AdmissionFacts, decideAdmission, isLate, lateToleranceRatio, retryAfterMs,
} from '../../lib/admission/admission-decision.js';

const facts = (more: Partial<AdmissionFacts>): AdmissionFacts => ({
	remainingMs: 5000, expectedMs: 100, isIdle: false, capacityMs: undefined, queueMs: 0, serviceMs: 50, hasQueueRoom: true, ...more,
});

describe('the decision on a request', () => {
	it('sends what is expected within the time left, with a tolerance', () => {
		assert.deepEqual(decideAdmission(facts({expectedMs: 4999})), {kind: 'send'});
		assert.deepEqual(decideAdmission(facts({expectedMs: 5000 * lateToleranceRatio})), {kind: 'send'});
	});

	it('refuses what is expected after the deadline', () => {
		// Guards against a request with a deadline of 5 s that is sent with an expected first event of 22 s.
		assert.deepEqual(decideAdmission(facts({expectedMs: 22_259})), {kind: 'refuse', reason: 'late', expectedMs: 22_259});
	});

	it('never refuses on an estimate while the endpoint is idle', () => {
		// Guards against estimates that are never corrected because nothing is sent.
		assert.deepEqual(decideAdmission(facts({expectedMs: 22_259, isIdle: true})), {kind: 'send'});
	});

	it('lets a request wait only if it can be served after the wait', () => {
		// Guards against requests that are held until their deadline.
		assert.deepEqual(decideAdmission(facts({expectedMs: undefined, capacityMs: 4900})), {kind: 'wait'});
		assert.deepEqual(decideAdmission(facts({expectedMs: undefined, capacityMs: 4960})), {kind: 'refuse', reason: 'unavailable', expectedMs: 5010});
		assert.deepEqual(decideAdmission(facts({expectedMs: undefined, capacityMs: 100, queueMs: 4960})), {kind: 'refuse', reason: 'late', expectedMs: 5010});
		assert.deepEqual(decideAdmission(facts({expectedMs: undefined, capacityMs: 100, hasQueueRoom: false})), {kind: 'refuse', reason: 'full', expectedMs: 150});
		assert.deepInclude(decideAdmission(facts({expectedMs: undefined})), {kind: 'refuse', reason: 'unavailable'});
	});

	it('sends nothing late to a busy endpoint and refuses nothing that is in time, for all inputs', () => {
		fc.assert(fc.property(fc.double({min: 0, max: 20_000, noNaN: true}), fc.double({min: 0, max: 60_000, noNaN: true}), fc.boolean(), (remainingMs, expectedMs, isIdle) => {
			const {kind} = decideAdmission(facts({remainingMs, expectedMs, isIdle}));
			assert.equal(kind, !isIdle && isLate(expectedMs, remainingMs) ? 'refuse' : 'send');
			assert.isTrue(kind === 'send' || expectedMs > remainingMs);
		}));
	});
});

describe('Retry-After of a refusal', () => {
	const facts = {expectedMs: 3000, remainingMs: 12_000, targetMs: 1000};

	it('is when the response is expected in the target time, with jitter of up to half', () => {
		assert.equal(retryAfterMs({...facts, random: () => 0}), 2000);
		assert.closeTo(retryAfterMs({...facts, random: () => 0.999_999}), 3000, 1);
	});

	it('is never longer than a third of the time left, and spread also at that bound', () => {
		// Guards against callers that don't return, or that all return at the same moment.
		fc.assert(fc.property(fc.double({min: -10, max: 20_000, noNaN: true}), fc.double({min: 0, max: 0.999, noNaN: true}), (remainingMs, random) => {
			const longestMs = Math.max(0, remainingMs) / 3;
			const ms = retryAfterMs({
				...facts, expectedMs: 60_000, remainingMs, random: () => random,
			});
			assert.isAtMost(ms, longestMs + 0.001);
			assert.isAtLeast(ms, (longestMs / 1.5) - 0.001);
		}));
	});

	it('is at least 250 ms where the caller has time', () => {
		assert.equal(retryAfterMs({...facts, expectedMs: 900, random: () => 0}), 250);
	});
});
