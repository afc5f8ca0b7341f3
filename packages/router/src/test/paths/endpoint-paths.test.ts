import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createSilentLog} from '../../observability.js';
import {type ConnectionState, createEndpointPaths, type EndpointPaths} from '../../paths.js';
import {collectUncaught} from '../collect-uncaught.js';
import {endpointNamed} from './endpoint-named.js';

const e1 = endpointNamed('e1');
const e2 = endpointNamed('e2');

describe('createEndpointPaths', () => {
	let clock: FakeTimers.Clock;
	let states: Map<string, ConnectionState>;
	let checks: string[];
	let lost: string[];
	/** Number of checks that fail next. */
	let failures: number;
	let paths: EndpointPaths;

	beforeEach(() => {
		clock = FakeTimers.install();
		states = new Map();
		checks = [];
		lost = [];
		failures = 0;
		paths = createEndpointPaths({
			async checkConnection(address) {
				checks.push(address);
				if (failures > 0) {
					failures--;
					throw new Error('Thrown by a test.');
				}

				return states.get(address) ?? 'accepted';
			},
			onLost({id}) {
				lost.push(id);
			},
			random: () => 0.5,
			log: createSilentLog(),
		});
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Asks for the path every 10 ms, as requests do. */
	const useFor = async (durationMs: number): Promise<void> => {
		for (let ms = 0; ms < durationMs; ms += 10) {
			paths.isLost(e1);
			await clock.tickAsync(10);
		}
	};

	it('goes on to watch requests after the callback of one threw an error', async () => {
		// Guards against requests that wait at lost endpoints until their deadlines, for the rest of the process's life.
		const notified: string[] = [];
		states.set(e1.address, 'refused');
		states.set(e2.address, 'refused');
		paths.watch(e1, () => {
			notified.push('e1');
			throw new Error('Thrown by a test.');
		});
		paths.connectFailed(e1);
		const error = await clock.tickAsync(5000).catch((error: unknown) => error);
		assert.propertyVal(error, 'message', 'Thrown by a test.');
		paths.watch(e2, () => {
			notified.push('e2');
		});
		paths.connectFailed(e2);
		await clock.tickAsync(5000);
		assert.deepEqual(notified, ['e1', 'e2']);
	});

	it('checks a lost path ever less often, and uses it again once a check succeeds', async () => {
		// Guards against callers who pay for finding out whether a path works again, and against paths that stay lost.
		states.set(e1.address, 'refused');
		paths.connectFailed(e1);
		assert.isTrue(paths.isLost(e1));
		await useFor(12_000);
		assert.isAtMost(checks.length, 7);
		assert.isAtLeast(checks.length, 5);
		states.delete(e1.address);
		await useFor(5100);
		assert.isFalse(paths.isLost(e1));
		assert.deepEqual(lost, ['e1']);
	});

	it('checks the other lost paths as soon as one works again', async () => {
		// Guards against requests that go on through peers for seconds after a partition has ended.
		states.set(e1.address, 'refused');
		states.set(e2.address, 'refused');
		paths.connectFailed(e1);
		paths.connectFailed(e2);
		for (let ms = 0; ms < 7000; ms += 10) {
			paths.isLost(e1);
			paths.isLost(e2);
			await clock.tickAsync(10);
		}

		states.clear();
		while (paths.isLost(e1)) {
			await clock.tickAsync(10);
		}

		await clock.tickAsync(250);
		paths.isLost(e2);
		await clock.tickAsync(1);
		assert.isFalse(paths.isLost(e2));
	});

	it('checks paths again after checks that threw an error', async () => {
		// Guards against an endpoint that counts as being checked, and places for checks that are taken, for the rest of the process's life.
		const uncaught = collectUncaught();
		states.set(e1.address, 'refused');
		paths.connectFailed(e1);
		failures = 20;
		await useFor(30_000);
		states.set(e1.address, 'accepted');
		await useFor(30_000);
		assert.isFalse(paths.isLost(e1));

		failures = 1;
		states.set(e2.address, 'silent');
		const open = paths.watch(e2);
		await clock.tickAsync(10_000);
		assert.isTrue(paths.isLost(e2));
		open.ended();
		clock.uninstall();
		await uncaught.restore();
		assert.lengthOf(uncaught.errors, 21);
	});

	it('starts no check while nobody uses a lost path, and holds no timer at rest', async () => {
		// Guards against wake-ups of an idle process.
		states.set(e1.address, 'refused');
		paths.connectFailed(e1);
		await clock.tickAsync(60_000);
		assert.lengthOf(checks, 0);
		assert.equal(clock.countTimers(), 0);
	});

	it('loses the path of an endpoint that owes a response and accepts no connection, and tells the waiting request', async () => {
		// Guards against requests that wait until their deadline for an answer that can't arrive.
		states.set(e1.address, 'silent');
		let told = 0;
		const open = paths.watch(e1, () => {
			told++;
		});
		await clock.tickAsync(500);
		assert.isTrue(paths.isLost(e1));
		assert.equal(told, 1);
		assert.isTrue(paths.isUnproven(e2));
		open.ended();
		await clock.tickAsync(500);
		assert.equal(clock.countTimers(), 0);
	});

	it('finds the paths that a partition took although only one endpoint owes a response', async () => {
		// Guards against a request that is lost on each open connection before the whole partition is known.
		const others = Array.from({length: 12}, (_item, index) => endpointNamed(`other-${index}`));
		for (const endpoint of [e1, ...others]) {
			states.set(endpoint.address, 'silent');
			paths.watch(endpoint).heard();
		}

		states.set(e2.address, 'accepted');
		paths.watch(e2).heard();
		paths.watch(e1);
		await clock.tickAsync(600);
		assert.sameMembers(lost, [e1, ...others].map(({id}) => id));
	});

	it('checks few other endpoints when one goes silent alone', async () => {
		const others = Array.from({length: 40}, (_item, index) => endpointNamed(`other-${index}`));
		for (const endpoint of others) {
			const request = paths.watch(endpoint);
			request.heard();
			request.ended();
		}

		states.set(e1.address, 'silent');
		paths.watch(e1).heard();
		await clock.tickAsync(2000);
		assert.isAtMost(checks.filter(address => address !== e1.address).length, 4);
	});

	it('keeps the path of an endpoint that is slow or silent for a second but accepts connections', async () => {
		// Guards against moving requests away from an endpoint that only takes long.
		const open = paths.watch(e1, () => {
			assert.fail('The path is not lost.');
		});
		await clock.tickAsync(1500);
		open.heard();
		open.ended();
		assert.isFalse(paths.isLost(e1));
		assert.isFalse(paths.isUnproven(e2));
	});

	it('checks at most one silent endpoint a second while all paths work', async () => {
		// Guards against a storm of connections when all endpoints are overloaded.
		const open = Array.from({length: 40}, (_item, index) => paths.watch(endpointNamed(`busy-${index}`)));
		await clock.tickAsync(5000);
		assert.isAtMost(checks.length, 5);
		for (const request of open) {
			request.ended();
		}
	});

	it('checks each busy endpoint at most once a second while another one is silent', async () => {
		// Guards against a storm of connections to overloaded endpoints when one of them has crashed.
		states.set(e1.address, 'silent');
		const busy = Array.from({length: 20}, (_item, index) => endpointNamed(`busy-${index}`));
		const open = [e1, ...busy].map(endpoint => paths.watch(endpoint));
		await clock.tickAsync(5000);
		assert.isTrue(paths.isLost(e1));
		assert.isAtMost(checks.filter(address => address !== e1.address).length, busy.length * 5);
		for (const request of open) {
			request.ended();
		}
	});

	it('leaves out an endpoint that no peer reaches either, ever longer, until a peer reaches it', () => {
		// Guards against requests that are sent in circles to an endpoint that has crashed.
		paths.connectFailed(e1);
		paths.passingOnFailed(e1);
		assert.isTrue(paths.isUnreachable(e1));
		clock.tick(500);
		assert.isFalse(paths.isUnreachable(e1));
		paths.passingOnFailed(e1);
		clock.tick(999);
		assert.isTrue(paths.isUnreachable(e1));
		paths.passedOn(e1);
		assert.isFalse(paths.isUnreachable(e1));
		assert.isAbove(paths.detourMs(e1), 0);
		assert.equal(paths.detourMs(e2), 0);
	});

	it('knows nothing of a later process under the same id', () => {
		paths.connectFailed(e1);
		assert.isFalse(paths.isLost({...e1, startedAt: e1.startedAt + 1}));
	});

	it('looks for silent endpoints no more often than they can become silent', async () => {
		// Guards against a timer that wakes the process several times in a stream whose events arrive.
		let runs = 0;
		const counting = (arm: typeof setTimeout | typeof setInterval) => ((callback: () => void, ms: number) => arm(() => {
			runs++;
			callback();
		}, ms)) as typeof arm;
		globalThis.setTimeout = counting(globalThis.setTimeout) as typeof setTimeout;
		globalThis.setInterval = counting(globalThis.setInterval);
		const request = paths.watch(e1);
		for (let ms = 0; ms < 3000; ms += 60) {
			request.heard();
			await clock.tickAsync(60);
		}

		assert.isAtMost(runs, 16);
		assert.isAbove(runs, 0);
		request.ended();
		await clock.tickAsync(250);
		assert.equal(clock.countTimers(), 0);
		assert.deepEqual(checks, []);
	});
});
