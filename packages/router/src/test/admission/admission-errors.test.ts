import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {type AdmissionTicket} from '../../admission.js';
import {collectUncaught} from '../collect-uncaught.js';
import {createDaemon, type Kind} from './load-model.js';

const kinds: readonly Kind[] = [0, 2].map(rank => ({
	name: `k${rank}`, rank, targetMs: 2500, deadlineMs: 15_000, sharedTokens: 0, ownTokens: 100, outputTokens: 50, subjects: 1, perSecond: 1,
}));

const choiceRequest = {
	service: 'engines',
	prompt: {
		model: 'm', parts: [{id: 'p', tokens: 100}], promptTokens: 100, outputTokens: 50, isolationKey: '',
	},
	excluded: new Set<string>(),
};

describe('admission after an error', () => {
	let clock: FakeTimers.Clock;
	let daemon: ReturnType<typeof createDaemon>;

	const ticketOf = (rank: number): AdmissionTicket => daemon.admission.ticketFor({
		service: 'engines', rank, workspace: '', deadlineAt: performance.now() + 15_000, timeoutMs: 15_000, targetMs: 2500, bytes: 1,
	});

	/** Has a request wait; `woken` tells whether its wait has ended. */
	const wait = (ticket: AdmissionTicket): {woken: boolean} => {
		const waiting = {woken: false};
		const admitted = ticket.decide(choiceRequest, true);
		assert(admitted.kind === 'wait', admitted.kind);
		void (async () => {
			await admitted.turn;
			waiting.woken = true;
		})();

		return waiting;
	};

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		clock.tick(1000);
		daemon = createDaemon('d', {
			clock, kinds, engines: 1, daemons: 1, workspaces: 1, slots: 1, memoryTokens: 10_000, tokensPerMs: 10, seed: 1, phases: [],
		}, () => 0.5);
		daemon.versions.changing('e0', 2);
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('wakes requests at later events', async () => {
		// Guards against requests of a service that are no longer woken by free capacity.
		const uncaught = collectUncaught();
		const urgent = ticketOf(0);
		const first = wait(urgent);
		wait(ticketOf(2));
		daemon.admission.capacityChanged();
		await Promise.resolve();
		await Promise.resolve();
		assert.isTrue(first.woken);
		const {endpointsOf} = daemon.view;
		clock.tick(100);
		const second = wait(urgent);
		daemon.view.endpointsOf = () => {
			throw new Error('Thrown by a test.');
		};

		await Promise.resolve();
		await Promise.resolve();
		daemon.view.endpointsOf = endpointsOf;
		await uncaught.restore();
		assert.lengthOf(uncaught.errors, 1);

		daemon.admission.capacityChanged();
		await Promise.resolve();
		await Promise.resolve();
		assert.isTrue(second.woken);
	});

	it('wakes requests when their time is over', async () => {
		// Guards against requests that wait without a timer until their callers give up.
		const waiting = wait(ticketOf(0));
		const {endpointsOf} = daemon.view;
		daemon.view.endpointsOf = () => {
			throw new Error('Thrown by a test.');
		};

		assert.throws(() => clock.tick(2600), 'Thrown by a test.');
		daemon.view.endpointsOf = endpointsOf;
		assert.isAbove(clock.countTimers(), 0);
		clock.tick(15_000);
		await Promise.resolve();
		await Promise.resolve();
		assert.isTrue(waiting.woken);
	});
});
