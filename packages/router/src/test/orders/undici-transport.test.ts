import {assert} from 'chai';
import {createHandler, type ExchangeState} from '../../lib/orders/undici-transport.js';

describe('createHandler', () => {
	it('writes a request only once, even if the client starts it again', () => {
		// The connection closes while an order runs, and undici sends the same request
		// on a new connection. The order may have run already: the second start must
		// be refused, and the failure must count as one that may have reached the endpoint.
		const state: ExchangeState = {
			shared: false, sent: false, cancelled: false, ended: false, callerBodyFailed: false,
		};
		const failures: string[] = [];
		const nothing = () => undefined;
		const handler = createHandler(state, {
			beforeSend: () => true, progress: nothing, head: nothing, data: nothing, end: nothing,
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
