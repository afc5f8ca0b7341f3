import {assert} from 'chai';
import {explainDay} from '../lib/explain-day.js';

const line = (time: number, context: Record<string, unknown>, message = '[entry] Request ended.') => `12.3 vm ${JSON.stringify({time, message, context})}`;

/** The line of a request that arrived at `at`, with the first byte of its answer after `firstMs`. */
const ended = (at: number, firstMs: number, more: Record<string, unknown> = {}) => line(at + firstMs + 50, {
	path: 'checks', workspace: 'school', result: 'answered', ms: firstMs + 50, firstMs, expectedMs: 100, ...more,
});

describe('explainDay', () => {
	it('counts requests by route and workspace, and lists the intervals with the most late or unanswered ones', () => {
		// 100 requests per second for ten seconds. The seventh second holds 30 late and
		// 20 refused ones. After every tenth request follow lines about other things.
		const lines: string[] = [];
		for (let index = 0; index < 1000; index++) {
			const at = 1_000_000 + (index * 10);
			const isInWorstInterval = index >= 600 && index < 650;
			lines.push(isInWorstInterval && index < 620
				? line(at + 1, {
					path: 'drafts', workspace: 'club', result: 'over_quota', ms: 1,
				})
				: ended(at, isInWorstInterval ? 900 : 120, index % 2 === 0 ? {path: 'drafts'} : {}));
			if (index % 10 === 0) {
				lines.push('a line of another program', line(at, {endpoint: 'e1'}, '[entry] Endpoint is live.'));
			}
		}

		const text = explainDay(lines.toReversed());
		assert.include(text, '  drafts: 510 requests; answered 490, over_quota 20; first byte after 120, 120, 900 ms (p50, p90, p99); 1.20 times the expected time (median)');
		assert.include(text, '  checks: 490 requests; answered 490; first byte after 120, 120, 900 ms (p50, p90, p99); 1.20 times the expected time (median)');
		assert.include(text, '  club: 20 requests; over_quota 20');
		assert.include(text, '  6000 ms: 200 requests; 30 late; 20 not answered');
		assert.include(text, '  4000 ms: 200 requests; 0 late; 0 not answered');
	});

	it('is empty if no request ended', () => {
		assert.deepEqual(explainDay(['nothing', line(1, {}, '[entry] Daemon starts.')]), []);
	});
});
