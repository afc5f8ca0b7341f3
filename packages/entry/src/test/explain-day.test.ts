import {assert} from 'chai';
import {explainDay} from '../lib/explain-day.js';

const line = (time: number, context: Record<string, unknown>, message = '[entry] Request ended.') => `12.3 vm ${JSON.stringify({time, message, context})}`;

/** A request that came at a moment and whose answer began so much later. */
const ended = (at: number, firstMs: number, more: Record<string, unknown> = {}) => line(at + firstMs + 50, {
	path: 'checks', workspace: 'school', result: 'answered', ms: firstMs + 50, firstMs, expectedMs: 100, ...more,
});

describe('explainDay', () => {
	it('adds up to what was counted: by route, by workspace, and the moments at which most went wrong', () => {
		// 100 requests a second for ten seconds, of them 30 late ones and 20 refused
		// ones in the seventh; one line in ten is of something else.
		const lines: string[] = [];
		for (let index = 0; index < 1000; index++) {
			const at = 1_000_000 + (index * 10);
			const isWorst = index >= 600 && index < 650;
			lines.push(isWorst && index < 620
				? line(at + 1, {
					path: 'drafts', workspace: 'club', result: 'over_quota', ms: 1,
				})
				: ended(at, isWorst ? 900 : 120, index % 2 === 0 ? {path: 'drafts'} : {}));
			if (index % 10 === 0) {
				lines.push('no line of ours', line(at, {endpoint: 'e1'}, '[entry] Endpoint is live.'));
			}
		}

		const text = explainDay(lines.toReversed());
		assert.include(text, '  drafts: 510 requests; answered 490, over_quota 20; first of the answer after 120, 120, 900 ms (median, 90, 99 in 100); 1.20 times what was expected (median)');
		assert.include(text, '  checks: 490 requests; answered 490; first of the answer after 120, 120, 900 ms (median, 90, 99 in 100); 1.20 times what was expected (median)');
		assert.include(text, '  club: 20 requests; over_quota 20');
		assert.include(text, '  6000 ms: 200 requests; 30 late; 20 not answered');
		assert.include(text, '  4000 ms: 200 requests; 0 late; 0 not answered');
	});

	it('says nothing where no request ended', () => {
		assert.deepEqual(explainDay(['nothing', line(1, {}, '[entry] Daemon starts.')]), []);
	});
});
