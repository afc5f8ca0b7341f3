import {type Clock, install} from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {type AnswerLimits, createAnswerLimits, LateAnswerError} from '../../time.js';

const answerMs = 100;

describe('createAnswerLimits', () => {
	let clock: Clock;
	let limits: AnswerLimits;
	let aborted: number;
	let late: Array<[string, boolean]>;
	let extended: Array<[string, ms: number, limitMs: number]>;

	beforeEach(() => {
		clock = install();
		aborted = 0;
		late = [];
		extended = [];
		limits = createAnswerLimits({
			onLate(kind, _ms, isAnswered) {
				late.push([kind, isAnswered]);
			},
			onExtended(kind, ms, limitMs) {
				extended.push([kind, ms, limitMs]);
			},
		});
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Makes a call that is answered after this time, and resolves to whether that was within its limit. */
	const isAnswered = async (latenessMs: number, {kind = 'read', waitMs = 0, mayEndLate = true, progressEveryMs = Infinity} = {}): Promise<boolean> => {
		try {
			await limits.call(kind, {answerMs, waitMs, mayEndLate}, async ({signal, progressed}) => new Promise((resolve, reject) => {
				const progress = Number.isFinite(progressEveryMs) ? setInterval(progressed, progressEveryMs) : undefined;
				setTimeout(() => {
					clearInterval(progress);
					resolve('answer');
				}, latenessMs);
				signal.addEventListener('abort', () => {
					aborted++;
					reject(new Error('aborted'));
				});
			}));
			return true;
		} catch (error) {
			assert.instanceOf(error, LateAnswerError);
			return false;
		}
	};

	const settle = async (call: Promise<boolean>): Promise<boolean> => {
		await clock.tickAsync(40_000);
		return call;
	};

	it('waits for a service that always answers late once it has answered', async () => {
		// Guards against a fixed limit, which a service that takes longer never meets.
		assert.isFalse(await settle(isAnswered(5000)));
		assert.isTrue(await settle(isAnswered(5000)));
		assert.deepEqual(late, [['read', true]]);
		assert.equal(aborted, 0);
	});

	it('tells of a call that is waited for beyond its usual limit', async () => {
		// Guards against a daemon that waits for seconds without a sign of it.
		await settle(isAnswered(300));
		await settle(isAnswered(300));
		assert.deepEqual(extended, [['read', answerMs, 600]]);
	});

	it('extends the limit of a call that is under way', async () => {
		// Guards against a second call that is given up just as the first one's answer shows that it would come.
		const first = isAnswered(190);
		await clock.tickAsync(answerMs);
		const second = isAnswered(190);
		assert.deepEqual([await settle(first), await second], [false, true]);
	});

	it('has a short limit soon after the service is prompt again', async () => {
		// Guards against silent connections that are noticed late after an outage.
		await settle(isAnswered(4000));
		for (let count = 0; count < 8; count++) {
			assert.isTrue(await settle(isAnswered(1)));
		}

		assert.isFalse(await settle(isAnswered(answerMs + 50)));
	});

	it('doesn\'t count the time for which the service holds a call', async () => {
		// Guards against limits that grow with each long poll.
		assert.isTrue(await settle(isAnswered(1050, {waitMs: 1000})));
		assert.isFalse(await settle(isAnswered(answerMs + 20)));
	});

	it('waits for an answer whose parts keep arriving', async () => {
		// Guards against a long answer over a slow link that is begun anew again and again.
		assert.isTrue(await settle(isAnswered(5000, {progressEveryMs: 60})));
	});

	it('keeps few late calls, and none for good', async () => {
		// Guards against a silent service that holds a connection for each call ever made.
		const calls = Array.from({length: 10}, async () => isAnswered(1_000_000));
		await clock.tickAsync(answerMs);
		assert.equal(aborted, 6);
		await clock.tickAsync(30_000);
		assert.equal(aborted, 10);
		assert.deepEqual(await Promise.all(calls), calls.map(() => false));
	});

	it('aborts a late write, and gives the next one more time', async () => {
		// Guards against a write that takes effect after a later one, and against one that is never waited for.
		const write = {kind: 'write', mayEndLate: false};
		assert.isFalse(await settle(isAnswered(350, write)));
		assert.equal(aborted, 1);
		assert.isFalse(await settle(isAnswered(350, write)));
		assert.isTrue(await settle(isAnswered(350, write)));
	});

	it('learns of each kind of call by itself', async () => {
		// Guards against long listings that make the silence of other calls go unnoticed.
		await settle(isAnswered(5000, {kind: 'list'}));
		assert.isFalse(await settle(isAnswered(200, {kind: 'read'})));
	});
});
