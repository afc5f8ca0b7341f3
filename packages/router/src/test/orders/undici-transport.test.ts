import {assert} from 'chai';
import {createHandler, type ExchangeState} from '../../lib/orders/undici-transport.js';

describe('createHandler', () => {
	it('lets a request be written once, though the client starts it again', () => {
		// The connection closes while an order runs, and the client puts the same
		// request on a new connection by itself. Its bytes may have run already: the
		// second start must be refused, and the order counts as perhaps run.
		const state: ExchangeState = {
			shared: false, left: false, cancelled: false, ended: false, callerBroke: false,
		};
		const failures: string[] = [];
		const nothing = () => undefined;
		const handler = createHandler(state, {
			leaving: () => true, progress: nothing, head: nothing, data: nothing, end: nothing,
			failed: failure => failures.push(failure),
		}, nothing);
		let aborted = 0;
		const controller = {
			aborted: false,
			paused: false,
			reason: null,
			pause: nothing,
			resume: nothing,
			abort(error: Error) {
				aborted++;
				handler.onResponseError?.(controller, error);
			},
		};
		handler.onRequestStart?.(controller, {});
		assert.equal(aborted, 0);
		handler.onRequestStart?.(controller, {});
		assert.deepEqual([aborted, failures], [1, ['reset']]);
	});
});
