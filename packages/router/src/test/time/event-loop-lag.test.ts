import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createEventLoopLag, type EventLoopLag, maxLagMs} from '../../time.js';
import {block} from '../block.js';

const turn = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

const currentTurn = (): number => performance.nodeTiming.uvMetricsInfo.loopCount;

describe('createEventLoopLag', () => {
	let lag: EventLoopLag;

	describe('by a paused clock', () => {
		let clock: FakeTimers.Clock;

		beforeEach(() => {
			clock = FakeTimers.install({toFake: ['performance', 'setImmediate']});
			lag = createEventLoopLag();
		});

		afterEach(() => {
			clock.uninstall();
		});

		it('is late until two more turns have passed after a long one', () => {
			// Guards against the end of a connection that was accepted after a long turn and is read two turns later.
			const isLate: boolean[] = [];
			for (const turnMs of [1, 1, 1, maxLagMs * 2, 1, 1]) {
				lag.recordTurn();
				clock.jump(turnMs);
				isLate.push(lag.lagMs() > maxLagMs);
			}

			assert.deepEqual(isLate, [false, false, false, true, true, false]);
		});

		it('counts what was read in a turn from the first event of that turn', () => {
			const first = lag.recordTurn();
			assert.equal(lag.recordTurn(), first);
			clock.jump(20);
			assert.equal(lag.recordTurn(), first + 20);
		});
	});

	beforeEach(() => {
		lag = createEventLoopLag();
	});

	it('catches up with the end of a connection whose request has just been read', async () => {
		// Guards against callers that left and are noticed only after their request was sent.
		const server = createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
		const [socket] = await once(server, 'connection') as [Socket];
		caller.end('request');
		await once(socket, 'data');
		const sentAt = performance.now();
		assert.isFalse(socket.readableEnded);
		const readUpTo = await lag.catchUp();
		assert.isTrue(socket.readableEnded);
		assert.isAtLeast(readUpTo, sentAt);
		socket.destroy();
		server.close();
	});

	it('reads all sockets again before more than a slice of the requests goes on', async () => {
		// Guards against callers that leave while many requests go on in one turn.
		const turns: number[] = [];
		await Promise.all(Array.from({length: 3}, async () => {
			await lag.catchUp();
			turns.push(currentTurn());
			block(60);
		}));
		assert.deepEqual(turns.map(number => number - turns[0]), [0, 1, 2]);
	});

	it('takes connections that are accepted in successive turns for ones that arrived together', async () => {
		// Guards against a queue of connections whose callers have left long before the last one is accepted.
		const recordAccept = lag.watchAccepts();
		const first = recordAccept();
		for (let count = 0; count < 5; count++) {
			lag.recordTurn();
			block(20);
			await turn();
			assert.equal(recordAccept(), first);
		}

		await turn();
		await turn();
		assert.isAbove(recordAccept(), first);
	});
});
