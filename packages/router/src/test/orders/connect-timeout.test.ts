import {Socket} from 'node:net';
import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createConnectTimeout} from '../../lib/orders/connect-timeout.js';

const maxMs = 300;

describe('createConnectTimeout', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	const connecting = (): Socket => Object.defineProperty(new Socket().on('error', () => undefined), 'connecting', {value: true, writable: true});

	/** Opens connections that take this long. */
	const connectMany = (timeout: ReturnType<typeof createConnectTimeout>, ms: number): void => {
		for (let count = 0; count < 100; count++) {
			const attempt = timeout.start();
			clock.tick(ms);
			attempt.ended(true);
		}
	};

	it('gives up a connection soon where they usually come about at once, and later on a slow network', async () => {
		// Guards against requests that wait for a hanging connection longer than a whole one takes.
		const timeout = createConnectTimeout(maxMs);
		assert.equal(timeout.currentMs(), maxMs);
		connectMany(timeout, 2);
		assert.equal(timeout.currentMs(), 60);
		connectMany(timeout, 20);
		assert.approximately(timeout.currentMs(), 160, 1);
		const socket = connecting();
		timeout.start().destroyIfLate(socket);
		await clock.tickAsync(150);
		assert.isFalse(socket.destroyed);
		await clock.tickAsync(20);
		assert.isTrue(socket.destroyed);
	});

	it('keeps a connection that came about while the process was busy', async () => {
		// Guards against connections that are given up because the process reads its timers first.
		const timeout = createConnectTimeout(maxMs);
		const socket = connecting();
		timeout.start().destroyIfLate(socket);
		setTimeout(() => {
			Object.assign(socket, {connecting: false});
		}, maxMs);
		await clock.tickAsync(maxMs + 10);
		assert.isFalse(socket.destroyed);
	});
});
