import {assert} from 'chai';
import {type BurnReport} from 'hickorywalk/observability.js';
import {renderBurnPage} from '../lib/burn/burn-page.js';

const window = {total: 10, broken: 1, burn: 2};

const report: BurnReport = {
	at: 0,
	version: 1,
	leftOut: 0,
	notRead: 0,
	objectives: [{
		workspace: '<script>alert(1)</script>',
		service: '"><img src=x onerror=alert(1)>',
		objective: 'availability',
		allowed: 0.1,
		windows: {'1h': window, '6h': window, '3d': window},
		budgetLeft: -1,
		causes: [{cause: 'failed', requests: 1}],
		hours: [null, 0.5, 2],
	}],
};

describe('renderBurnPage', () => {
	it('contains a plot, and escapes names that look like markup', async () => {
		const page = await renderBurnPage(report);
		assert.match(page, /<svg.+<\/svg>/sv);
		assert.notInclude(page, '<script');
		assert.notInclude(page, '<img');
		assert.include(page, '&lt;script&gt;alert(1)&lt;/script&gt;');
	});
});
