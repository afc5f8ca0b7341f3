import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {assert} from 'chai';
import {type ExchangeEvents} from '../../lib/orders/endpoint-transport.js';
import {createUndiciTransport} from '../../lib/orders/undici-transport.js';

const pauseMs = 20;
const readAfterMs = 400;

/** Serves the same raw response to every connection and then calls `end`. */
async function serve(response: string, end: (socket: Socket) => void): Promise<{server: Server; address: string}> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(response, () => {
				// A reset discards bytes that the client has not read yet.
				setImmediate(() => {
					setTimeout(end, 50, socket);
				});
			});
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {server, address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`};
}

/** Sends more of a response than what a connection that is held back may still take, and then calls `end`. */
const sendMore = (end: (socket: Socket) => void) => (socket: Socket): void => {
	for (const [index, text] of ['second, ', 'third, ', 'fourth'].entries()) {
		setTimeout(() => {
			socket.write(text);
		}, index * pauseMs);
	}

	setTimeout(end, pauseMs * 4, socket);
};

/** Sends a request; the response is read only `readAfterMs` after its head. */
async function exchange(address: string, readAfterMs = 0): Promise<string> {
	const transport = createUndiciTransport();
	const target = {name: 'desk-1', address};
	transport.allowConnectionReuse(target);
	const outcome = await new Promise<string>(resolve => {
		const nothing = () => undefined;
		const events: ExchangeEvents = {
			beforeSend: () => true,
			progress: nothing,
			head() {
				if (readAfterMs > 0) {
					sent.pause();
					setTimeout(sent.resume, readAfterMs);
				}
			},
			data: nothing,
			end() {
				resolve('whole');
			},
			failed: resolve,
		};
		const sent = transport.send({
			endpoint: target, method: 'GET', path: '/', headers: [], dedicatedConnection: false,
		}, events);
	});
	await transport.close();
	return outcome;
}

describe('a response without a length', () => {
	const head = 'HTTP/1.1 200 OK\r\n';

	it('is truncated if its connection is reset', async () => {
		// An endpoint that crashes resets its connections. A response without a length
		// ends with its connection, and the part received before the reset must not
		// pass as a complete response.
		const {server, address} = await serve(`${head}\r\nhalf of the ans`, socket => {
			socket.resetAndDestroy();
		});
		assert.equal(await exchange(address), 'truncated');
		server.close();
	});

	it('fails if its connection is reset while it is not read', async () => {
		// Guards against a reset that ends the process: a paused parser of the HTTP client fails an assertion.
		const {server, address} = await serve(`${head}Content-Length: 100\r\nConnection: close\r\n\r\nfirst, `, socket => {
			socket.resetAndDestroy();
		});
		assert.equal(await exchange(address, readAfterMs), 'reset');
		server.close();
	});

	it('is truncated if its connection is reset while it is not read', async () => {
		// Guards against a reset that libuv reports as an end, since it finds bytes and the end of the connection at once.
		const {server, address} = await serve(`${head}\r\nfirst, `, sendMore(socket => {
			socket.resetAndDestroy();
		}));
		assert.equal(await exchange(address, readAfterMs), 'truncated');
		server.close();
	});

	it('is complete if its connection is closed while it is not read', async () => {
		const {server, address} = await serve(`${head}\r\nfirst, `, sendMore(socket => {
			socket.end();
		}));
		assert.equal(await exchange(address, readAfterMs), 'whole');
		server.close();
	});

	it('is complete if its connection is closed', async () => {
		const {server, address} = await serve(`${head}\r\nthe whole answer`, socket => {
			socket.end();
		});
		assert.equal(await exchange(address), 'whole');
		server.close();
	});

	it('is not complete before its last chunk if it is chunked', async () => {
		const {server, address} = await serve(`${head}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nfirst\r\n`, socket => {
			socket.resetAndDestroy();
		});
		assert.notEqual(await exchange(address), 'whole');
		server.close();
	});
});
