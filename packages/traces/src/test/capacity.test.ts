import {assert} from 'chai';
import {fitLine} from '../lib/capacity/fit.js';
import {slopeDefinitions} from '../lib/capacity/slopes.js';
import {replaceBetween} from '../lib/capacity/write-page.js';

describe('capacity page', () => {
	it('fits a line and says how far the points lie from it', () => {
		const line = fitLine([1, 2, 4, 8, 16].map(size => ({size, value: 10 + (3 * size)})));
		assert.closeTo(line.slope, 3, 1e-9);
		assert.closeTo(line.intercept, 10, 1e-9);
		assert.closeTo(line.residual, 0, 1e-9);
		const scattered = fitLine([{size: 1, value: 5}, {size: 2, value: 15}, {size: 3, value: 5}, {size: 4, value: 15}]);
		assert.closeTo(scattered.slope, 2, 1e-9);
		assert.closeTo(scattered.residual, Math.sqrt(20) / 10, 1e-9);
	});

	it('measures every slope at sizes that double at least four times', () => {
		for (const {role, cost, sizes} of slopeDefinitions) {
			assert.isAtLeast(sizes.length, 5, `${role}: ${cost}`);
			assert.isTrue(sizes.slice(1).every((size, index) => size >= 2 * sizes[index]), `${role}: ${cost}`);
		}
	});

	// The operator reads the figures of an older run as if they were new ones.
	it('fails rather than leave a table of an older run', () => {
		assert.equal(replaceBetween('a\n<!-- t -->\nold\n<!-- end of t -->\nb', 't', 'new'), 'a\n<!-- t -->\n\nnew\n\n<!-- end of t -->\nb');
		assert.throws(() => replaceBetween('a\n<!-- end of t -->', 't', 'new'), /marks/v);
	});
});
