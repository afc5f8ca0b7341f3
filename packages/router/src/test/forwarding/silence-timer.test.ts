import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createSilenceTimer, type SilenceTimer} from '../../lib/forwarding/silence-timer.js';
import {block} from '../block.js';

const limitMs = 50;

describe('createSilenceTimer in a process that was busy until after its timeout', () => {
	let server: Server;
	let endpoint: Socket;
	let socket: Socket;
	let timer: SilenceTimer;
	let ends: string[];
	let ended: Promise<void>;

	const start = (deadlineMs: number): void => {
		ended = new Promise(resolve => {
			const end = (kind: string) => (): void => {
				ends.push(kind);
				resolve();
			};

			timer = createSilenceTimer({deadlineAt: performance.now() + deadlineMs, onDeadline: end('deadline'), onSilent: end('silent')});
		});
		socket.on('data', () => {
			ends.push('data');
			timer.stop();
		});
		timer.restart(limitMs);
	};

	beforeEach(async () => {
		ends = [];
		server = createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		[endpoint] = await once(server, 'connection') as [Socket];
	});

	afterEach(() => {
		timer.stop();
		socket.destroy();
		endpoint.destroy();
		server.close();
	});

	const checkReading = async (deadlineMs: number): Promise<void> => {
		start(deadlineMs);
		endpoint.write('response');
		block(limitMs * 3);
		await once(socket, 'data');
		assert.deepEqual(ends, ['data']);
	};

	const checkReport = async (deadlineMs: number, kind: string): Promise<void> => {
		start(deadlineMs);
		block(limitMs * 3);
		await ended;
		assert.deepEqual(ends, [kind]);
	};

	for (const [kind, deadlineMs] of Object.entries({silent: 10_000, deadline: limitMs})) {
		// Guards against a late process that aborts a request although its response has arrived.
		it(`reads what has arrived before it reports "${kind}"`, async () => checkReading(deadlineMs));

		it(`reports "${kind}" if nothing has arrived`, async () => checkReport(deadlineMs, kind));
	}
});

describe('createSilenceTimer whose callback throws', () => {
	it('still reports the deadline', () => {
		// Guards against a request that holds its place at an endpoint without a deadline.
		const clock = FakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'clearImmediate', 'performance']});
		try {
			let deadlines = 0;
			const timer = createSilenceTimer({
				deadlineAt: performance.now() + 1000,
				onDeadline() {
					deadlines++;
				},
				onSilent() {
					throw new Error('fault');
				},
			});
			timer.restart(limitMs);
			assert.throws(() => clock.tick(limitMs * 2), 'fault');
			clock.tick(2000);
			assert.equal(deadlines, 1);
		} finally {
			clock.uninstall();
		}
	});
});
