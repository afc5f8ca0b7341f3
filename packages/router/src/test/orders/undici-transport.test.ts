import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
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

	it('keeps serving from a pool after more invalid requests than it has connections', async () => {
		// Guards against a sound endpoint whose pool waits forever for clients that rejected a request.
		const server = createServer((_request, response) => {
			response.end('ok');
		});
		server.listen(0, '127.0.70.1');
		await once(server, 'listening');
		const {port} = server.address() as {port: number};
		const connectionsPerPool = 2;
		const transport = createUndiciTransport({connectionsPerPool});
		const target = {name: 'e1', address: `http://127.0.70.1:${port}`};
		const send = async (value: string) => new Promise<string>(resolve => {
			transport.send({
				endpoint: target, method: 'GET', path: '/', headers: ['x-name', value], dedicatedConnection: false,
			}, {
				beforeSend: () => true,
				progress: () => undefined,
				head: () => undefined,
				data: () => undefined,
				end() {
					resolve('answered');
				},
				failed: resolve,
			});
		});
		const waitMs = 2000;
		const outcomeOf = async (value: string) => Promise.race([send(value), delay(waitMs, 'timed out')]);
		try {
			transport.allowConnectionReuse(target);
			for (const value of ['a\nb', 'a\u0000b', 'a\u0100b', 'a\nb']) {
				assert.equal(await outcomeOf(value), 'unsendable');
			}

			// Invalid requests also reach clients from the pool's queue.
			const values = ['a', 'b', 'c', 'a\nb', 'a\nb', 'a\nb', 'd', 'e'];
			assert.deepEqual(
				await Promise.all(values.map(async value => outcomeOf(value))),
				values.map(value => value.includes('\n') ? 'unsendable' : 'answered'),
			);
		} finally {
			// A pool with waiting requests would never close.
			void transport.close();
			server.close();
		}
	});
});
