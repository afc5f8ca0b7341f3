import {Buffer} from 'node:buffer';
import {assert} from 'chai';
import {createHandler, createUndiciTransport, type ExchangeState} from '../../lib/orders/undici-transport.js';

/** An exchange that has not been sent. */
const newState = (): ExchangeState => ({
	shared: false, sent: false, cancelled: false, ended: false, callerBodyFailed: false,
});

describe('createHandler', () => {
	it('writes a request only once, even if the client starts it again', () => {
		// The connection closes while an order runs, and undici sends the same request
		// on a new connection. The order may have run already: the second start must
		// be refused, and the failure must count as one that may have reached the endpoint.
		const state = newState();
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

	it('releases the chunk that was read with a response\'s head', () => {
		// Guards against memory that no account knows of, held by each exchange until its end.
		const nothing = () => undefined;
		const heads: Array<readonly string[]> = [];
		const handler = createHandler(newState(), {
			beforeSend: () => true,
			progress: nothing,
			head({headers}) {
				heads.push(headers);
			},
			data: nothing,
			end: nothing,
			failed: nothing,
		}, nothing);
		const controller = {
			aborted: false, paused: false, reason: null, pause: nothing, resume: nothing, abort: nothing, rawHeaders: [Buffer.from('a'), Buffer.from('1')],
		};
		handler.onResponseStart?.(controller, 200, {});
		assert.deepEqual(heads, [['a', '1']]);
		assert.isNull(controller.rawHeaders);
	});
});

describe('createUndiciTransport', () => {
	it('fails requests to an invalid address as those that reached nothing', async () => {
		// Guards against an error that is thrown into the caller for what another process states as its address.
		const transport = createUndiciTransport();
		for (const address of ['http://', 'http://127.0.0.1:99999', 'http://999.1.1.1:80']) {
			const target = {name: 'e1', address};
			transport.allowConnectionReuse(target);
			const failure = await new Promise(resolve => {
				transport.send({
					endpoint: target, method: 'GET', path: '/', headers: [], dedicatedConnection: false,
				}, {
					beforeSend: () => true, progress: () => undefined, head: () => undefined, data: () => undefined, end: () => undefined, failed: resolve,
				});
			});
			transport.forgetConnections(target);
			assert.equal(failure, 'connect_failed');
		}

		await transport.close();
	});
});
