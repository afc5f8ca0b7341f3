import {assert} from 'chai';
import {createEndpointBook} from '../../placing.js';

describe('createEndpointBook', () => {
	it('says at once that a large prompt began, and not that a small one did', () => {
		// An engine becomes free and every daemon sees it so until the next round of
		// reports. Seven prompts of six daemons went there within 0.12 s, and the
		// last first event came after 1.3 s.
		let told = 0;
		const book = createEndpointBook({
			onLarge() {
				told++;
			},
		});
		book.start('e1', {missingTokens: 800, memoryTokens: 900});
		assert.equal(told, 0);
		book.start('e1', {missingTokens: 9200, memoryTokens: 9300});
		assert.equal(told, 1);
		assert.deepEqual(book.report(), [['e1', 2, 10_000, 10_200]]);
	});
});
