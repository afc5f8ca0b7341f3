import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {type LiveEndpoint} from '../../fleet.js';
import {createEndpointLoadTracker} from '../../placing.js';
import {reportOf} from '../peers/empty-report.js';

describe('createEndpointLoadTracker', () => {
	it('notifies at once of a large prompt, and not of a small one', () => {
		// Guards against several daemons choosing the same idle engine before their next
		// reports: seven prompts from six daemons went to one engine within 0.12 s, and
		// the last of them got its first event after 1.3 s.
		let told = 0;
		const book = createEndpointLoadTracker({
			onLarge() {
				told++;
			},
		});
		book.start('e1', {missingTokens: 800, memoryTokens: 900, outputTokens: 0});
		assert.equal(told, 0);
		book.start('e1', {missingTokens: 9200, memoryTokens: 9300, outputTokens: 0});
		assert.equal(told, 1);
		assert.deepEqual(book.report(), [['e1', 2, 10_000, 10_200, 0]]);
	});

	it('estimates the time per prompt token apart from the fixed time', () => {
		// Counted per token, the fixed time made long prompts look too slow.
		const book = createEndpointLoadTracker();
		const firstMs = (tokens: number) => 68 + (tokens * 0.011);
		for (let count = 0; count < 60; count++) {
			book.updateEstimates('e1', firstMs(600), 600, 0);
			book.updateEstimates('e1', firstMs(2900 + (count * 50)), 2900, count * 50);
		}

		const expectedMs = book.baseMs('e1') + (30_000 * book.msPerToken('e1'));
		assert.approximately(expectedMs / firstMs(30_000), 1, 0.1);
	});

	it('estimates when the last answer in flight ends, including those of peers', () => {
		const clock = FakeTimers.install({toFake: ['performance']});
		try {
			const endpoint: LiveEndpoint = {
				id: 'e1', service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map(),
			};
			const book = createEndpointLoadTracker();
			// Answers of 200 tokens take 1 s from their first event.
			for (let count = 0; count < 200; count++) {
				const seen = book.start('e1', {missingTokens: 0, memoryTokens: 0, outputTokens: 200});
				seen.begun();
				clock.tick(1000);
				seen.ended(true);
			}

			assert.approximately(book.runMs(400), 2000, 50);
			const work = book.start('e1', {missingTokens: 0, memoryTokens: 0, outputTokens: 400});
			assert.approximately(book.load(endpoint).remainingMs, 2000, 50);
			work.begun();
			clock.tick(1500);
			assert.approximately(book.load(endpoint).remainingMs, 500, 50);
			book.applyPeerReport(reportOf('vm-2', {number: 1, loads: [['e1', 1, 0, 900, 900]]}));
			clock.tick(100);
			assert.approximately(book.load(endpoint).remainingMs, 800, 1);
			work.ended(true);
			assert.approximately(book.load(endpoint).remainingMs, 800, 1);
		} finally {
			clock.uninstall();
		}
	});

	it('knows of requests that haven\'t begun, here and in recent reports of peers', () => {
		// Guards against an engine that is ordered to load while requests wait there, even if all their tokens are cached.
		const clock = FakeTimers.install({toFake: ['performance']});
		try {
			const book = createEndpointLoadTracker();
			const work = book.start('e1', {missingTokens: 0, memoryTokens: 100, outputTokens: 10});
			assert.isTrue(book.hasUnstarted('e1'));
			assert.equal(book.report()[0][2], 1);
			work.begun();
			assert.isFalse(book.hasUnstarted('e1'));
			book.applyPeerReport(reportOf('vm-2', {loads: [['e1', 1, 1, 100, 50]]}));
			assert.isTrue(book.hasUnstarted('e1'));
			clock.tick(601);
			assert.isFalse(book.hasUnstarted('e1'));
		} finally {
			clock.uninstall();
		}
	});

	it('sums the latest reports of peers, without peers that left or stopped reporting', () => {
		// A cached sum that outlived a report would show an idle engine as busy.
		const clock = FakeTimers.install({toFake: ['performance']});
		try {
			const endpoint: LiveEndpoint = {
				id: 'e1', service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map(),
			};
			const book = createEndpointLoadTracker();
			const hear = (daemon: string, running: number) => {
				book.applyPeerReport(reportOf(daemon, {loads: [['e1', running, running * 100, running * 1000, 5000]]}));
			};

			const sums = () => {
				const {running, pendingTokens, memoryTokens, remainingMs: lastsMs} = book.load(endpoint);
				return [running, pendingTokens, memoryTokens, lastsMs];
			};

			hear('vm-2', 1);
			clock.tick(1000);
			hear('vm-3', 2);
			assert.deepEqual(sums(), [3, 300, 3000, 5000]);
			hear('vm-3', 4);
			assert.deepEqual(sums(), [5, 500, 5000, 5000]);
			clock.tick(500);
			assert.deepEqual(sums(), [5, 500, 5000, 4500]);
			clock.tick(1);
			assert.deepEqual(sums(), [4, 400, 4000, 4499]);
			book.removePeer('vm-3');
			assert.deepEqual(sums(), [0, 0, 0, 0]);
		} finally {
			clock.uninstall();
		}
	});
});
