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

	/** Makes a call each attempt at which is answered after this time, and resolves to whether that was within its limit. */
	const isAnswered = async (latenessMs: number, {kind = 'read', waitMs = 0, isRepeatable = true, progressEveryMs = Infinity} = {}): Promise<boolean> => {
		try {
			await limits.call(kind, {answerMs, waitMs, isRepeatable}, async ({signal, progressed, isRepeat}) => new Promise((resolve, reject) => {
				const progress = Number.isFinite(progressEveryMs) ? setInterval(progressed, progressEveryMs) : undefined;
				setTimeout(() => {
					clearInterval(progress);
					resolve('answer');
				}, latenessMs);
				signal.addEventListener('abort', () => {
					aborted += isRepeat ? 0 : 1;
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
		const write = {kind: 'write', isRepeatable: false};
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

	describe('while it waits beyond the usual limit', () => {
		const usualMs = 5000;
		type Made = {at: number; isRepeat: boolean; isAborted: () => boolean; answer: (text: string) => void; fail: () => void; progressed: () => void};
		let made: Made[];

		beforeEach(async () => {
			made = [];
			await settle(isAnswered(usualMs));
		});

		/** Makes a call whose attempts end as the test says. */
		const begin = async ({isRepeatable = true, waitMs = 0} = {}): Promise<string> => {
			const startedAt = performance.now();
			return limits.call('read', {answerMs, waitMs, isRepeatable}, async ({signal, isRepeat, progressed}) => new Promise((resolve, reject) => {
				made.push({
					at: performance.now() - startedAt, isRepeat, isAborted: () => signal.aborted, answer: resolve, progressed,
					fail() {
						reject(new Error('reset'));
					},
				});
			}));
		};

		const open = (): number => made.filter(({isAborted}) => !isAborted()).length;

		it('makes the call again, and takes the first answer', async () => {
			// Guards against a silent connection that is waited for as long as an answer that an outage held up.
			const call = begin({waitMs: 1000});
			await clock.tickAsync(1000 + answerMs);
			assert.deepEqual(made.map(({at, isRepeat}) => [at, isRepeat]), [[0, false], [1000 + answerMs, true]]);
			made[1].answer('second');
			assert.equal(await call, 'second');
			assert.isTrue(made[0].isAborted());
		});

		it('takes the answer of the first attempt, however many have been made since', async () => {
			// Guards against a service that is always late and never heard, since each attempt begins anew.
			const call = begin();
			await clock.tickAsync(usualMs);
			made[0].answer('first');
			assert.equal(await call, 'first');
			await clock.tickAsync(40_000);
			assert.equal(open(), 1);
		});

		it('has few attempts at a time, and makes them at an even pace', async () => {
			// Guards against a late service that is flooded with repeats.
			const call = begin();
			await clock.tickAsync(usualMs);
			assert.deepEqual(made.slice(0, 4).map(({at}) => at), [0, answerMs, answerMs * 5, answerMs * 9]);
			assert.equal(open(), 4);
			assert.isAtMost(made.length, 2 + (usualMs / (4 * answerMs)));
			made[0].answer('first');
			await call;
		});

		it('goes on with the others if an attempt fails, and fails with the last', async () => {
			// Guards against one connection that is reset and takes an answer along that is on its way.
			const call = begin();
			await clock.tickAsync(answerMs);
			made[1].fail();
			await clock.tickAsync(answerMs);
			assert.isFalse(made[0].isAborted());
			made[0].fail();
			try {
				await call;
				assert.fail('The call succeeded.');
			} catch (error) {
				assert.equal((error as Error).message, 'reset');
			}
		});

		it('makes no other attempt while parts of the answer arrive', async () => {
			// Guards against a long answer over a slow link that is asked for twice.
			const call = begin();
			for (let count = 0; count < 20; count++) {
				await clock.tickAsync(answerMs * 0.8);
				made[0].progressed();
			}

			made[0].answer('whole');
			assert.equal(await call, 'whole');
			assert.lengthOf(made, 1);
		});

		it('makes a write once', async () => {
			// Guards against a write that takes effect twice.
			const call = begin({isRepeatable: false});
			await clock.tickAsync(usualMs);
			assert.lengthOf(made, 1);
			made[0].answer('written');
			assert.equal(await call, 'written');
		});
	});
});
