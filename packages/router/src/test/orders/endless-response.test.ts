import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {assert} from 'chai';
import {createUndiciTransport} from '../../lib/orders/undici-transport.js';

const kilobyte = 1024;
const megabyte = 1024 * kilobyte;
/** Time within which a connection that brings no response is closed. */
const closedWithinMs = 2000;
/** The sockets of one connection hold some megabytes outside of the process. */
const maxSentBytes = 24 * megabyte;

const head = 'HTTP/1.1 200 OK\r\n';
const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;
const wholeResponse = `${head}Content-Length: 2\r\n\r\nok`;

/** What an endpoint sends, and then sends again without end. */
const responses: Record<string, {start: string; endless: string; isWhole?: boolean}> = {
	'in blank lines before it': {start: '', endless: '\r\n'},
	'in its status line': {start: 'HTTP/1.1 200 ', endless: 'OK '},
	'in a header\'s name': {start: head, endless: 'x'},
	'in a header\'s value': {start: `${head}x: `, endless: 'x'},
	'in header lines': {start: head, endless: 'x: y\r\n'},
	'in informational heads': {start: '', endless: 'HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n'},
	'in the digits of a chunk\'s size': {start: chunkedHead, endless: '0'},
	'in a chunk\'s extension': {start: `${chunkedHead}1;x=`, endless: 'y'},
	'in its trailers': {start: `${chunkedHead}2\r\nok\r\n0\r\n`, endless: 'x: y\r\n'},
	'in bytes after it': {start: wholeResponse, endless: 'x', isWhole: true},
	'in blank lines after it': {start: wholeResponse, endless: '\r\n', isWhole: true},
	'in further responses after it': {start: wholeResponse, endless: wholeResponse, isWhole: true},
};

describe('a response without end', () => {
	let server: Server;
	let sentBytes: number;
	let closed: Promise<void>;
	let closers: Array<() => void>;

	beforeEach(() => {
		closers = [];
	});

	afterEach(() => {
		server.close();
		for (const close of closers) {
			close();
		}
	});

	const serve = async (start: string, endless: string): Promise<string> => {
		const block = Buffer.from(endless.repeat(Math.ceil((64 * kilobyte) / endless.length)));
		sentBytes = 0;
		server = createServer(socket => {
			closers.push(() => {
				socket.destroy();
			});
			closed = new Promise(resolve => {
				socket.on('close', resolve);
			});
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.write(start);
				const write = (): void => {
					while (!socket.destroyed && sentBytes < maxSentBytes * 2) {
						sentBytes += block.length;
						if (!socket.write(block)) {
							socket.once('drain', write);
							return;
						}
					}
				};

				setImmediate(write);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
	};

	const exchange = async (address: string): Promise<string> => {
		const transport = createUndiciTransport();
		const target = {name: 'desk-1', address};
		transport.allowConnectionReuse(target);
		return new Promise<string>(resolve => {
			const nothing = (): undefined => undefined;
			transport.send({
				endpoint: target, method: 'GET', path: '/', headers: [], dedicatedConnection: false,
			}, {
				beforeSend: () => true,
				progress: nothing,
				head: nothing,
				data: nothing,
				end() {
					resolve('whole');
				},
				failed() {
					resolve('failed');
				},
			});
		});
	};

	const expectClosed = async (start: string, endless: string, isWhole: boolean): Promise<void> => {
		const address = await serve(start, endless);
		const outcome = await Promise.race([exchange(address), sleep(closedWithinMs, 'nothing')]);
		const end = await Promise.race([closed, sleep(closedWithinMs, 'open')]);
		assert.deepEqual([outcome, end === 'open'], [isWhole ? 'whole' : 'failed', false]);
		assert.isBelow(sentBytes, maxSentBytes);
	};

	for (const [place, {start, endless, isWhole = false}] of Object.entries(responses)) {
		// Guards against connections that are read for as long as an endpoint in trouble writes.
		it(`is closed soon if it goes on ${place}`, async () => expectClosed(start, endless, isWhole));
	}
});
