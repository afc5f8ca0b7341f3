import {Buffer} from 'node:buffer';
import {setImmediate} from 'node:timers/promises';
import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {type CallHeaders, type ResponseFacts} from '../../lib/fleet/call-headers.js';
import {type AttemptEnd, type AttemptOptions, runAttempt} from '../../lib/forwarding/attempt.js';
import {type CallerReply} from '../../lib/forwarding/caller-reply.js';
import {type ExchangeEvents} from '../../lib/orders/endpoint-transport.js';
import {collectUncaught} from '../collect-uncaught.js';

describe('runAttempt with a stream', () => {
	let clock: FakeTimers.Clock;
	let events: ExchangeEvents;
	let writes: string[];
	let pauses: number;
	let drain: () => void;
	/** Delivers what was held back. */
	let deliverHeld: () => void;
	let timersArmed: number;
	let end: Promise<AttemptEnd>;

	const facts: Partial<ResponseFacts> = {
		requestId: 'a', isSigned: true, isEncoded: false, isUnframed: false,
	};

	const start = (more: Partial<AttemptOptions> = {}, acceptsMore = true): void => {
		let isStarted = false;
		const reply: Partial<CallerReply> = {
			isStarted: () => isStarted,
			isDisconnected: () => false,
			head() {
				isStarted = true;
			},
			write(chunk) {
				writes.push(Buffer.from(chunk).toString());
				return acceptsMore;
			},
			onDrain(resume) {
				drain = resume;
			},
			unsentBytes: () => 0,
			end(chunk) {
				writes.push(`${chunk === undefined ? '' : Buffer.from(chunk).toString()}END`);
			},
			onDisconnect: () => undefined,
		};
		const headers: Partial<CallHeaders> = {readResponse: () => facts as ResponseFacts, forCaller: () => []};
		end = runAttempt({
			send(listener) {
				events = listener;
				return {
					pause() {
						pauses++;
					},
					resume() {
						deliverHeld();
					},
					batchReads: () => undefined, abort: () => undefined,
				};
			},
			headers: headers as CallHeaders, requestId: 'a', reply: reply as CallerReply, isStream: true,
			progress: {firstAt: undefined, lastEventId: undefined, facts: undefined}, eventBatchMs: 60, headTimeoutMs: 1000, eventTimeoutMs: 800,
			buffer: {add: () => undefined}, mayMoveAway: () => true, mayLeavePath: () => false, deadlineAt: performance.now() + 5000, maySend: () => true,
			onWritten: () => undefined, onHead: () => undefined, onResponseStart: () => undefined, onEvents: () => undefined, onBytes: undefined, onPathWatched: () => undefined, onAbortable: () => undefined,
			...more,
		});
	};

	const receive = (...ids: number[]): void => {
		for (const id of ids) {
			events.data(Buffer.from(`id: ${id}\n\n`));
		}
	};

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
		timersArmed = 0;
		const arm = globalThis.setTimeout;
		globalThis.setTimeout = ((...parameters: Parameters<typeof arm>) => {
			timersArmed++;
			return arm(...parameters);
		}) as typeof arm;
		writes = [];
		pauses = 0;
		deliverHeld = () => undefined;
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('passes on the first event at once, and those of each later read in one write', async () => {
		// Guards against a write to the caller for each event, and against a first event that is delayed.
		start();
		events.head({status: 200, headers: []});
		receive(1);
		assert.deepEqual(writes, ['id: 1\n\n']);
		for (const read of [[2, 3, 4], [5], [6, 7]]) {
			receive(...read);
			await Promise.resolve();
		}

		assert.deepEqual(writes.slice(1), ['id: 2\n\nid: 3\n\nid: 4\n\n', 'id: 5\n\n', 'id: 6\n\nid: 7\n\n']);
	});

	it('holds no timer once a stream has ended that waited for its caller', () => {
		// Guards against a heap that fills with ended requests, each kept by the timer of its silence until its deadline.
		start({}, false);
		events.head({status: 200, headers: []});
		receive(1);
		deliverHeld = () => {
			events.end([]);
		};

		drain();
		assert.equal(clock.countTimers(), 0);
	});

	it('accounts for what was read after the caller had stopped reading', () => {
		// Guards against streams of callers that don't read whose memory no account knows of.
		let buffered = 0;
		start({
			buffer: {
				add(bytes) {
					buffered += bytes;
				},
			},
		}, false);
		events.head({status: 200, headers: []});
		receive(1);
		events.held?.(64_000);
		assert.equal(buffered, 64_000);
		drain();
		assert.equal(buffered, 0);
	});

	it('passes on the events that arrived with the end or with a failure', async () => {
		// Guards against events that are lost with the end of their read.
		start();
		events.head({status: 200, headers: []});
		receive(1, 2, 3);
		events.end([]);
		assert.deepEqual(writes, ['id: 1\n\n', 'id: 2\n\nid: 3\n\n', 'END']);
		assert.deepEqual(await end, {kind: 'answered', status: 200});

		writes = [];
		start();
		events.head({status: 200, headers: []});
		receive(1, 2);
		events.failed('reset');
		assert.deepEqual(writes, ['id: 1\n\n', 'id: 2\n\n']);
		assert.deepEqual(await end, {kind: 'failed', failure: 'truncated'});
		await Promise.resolve();
		assert.lengthOf(writes, 2);
	});

	describe('and a fault in its own code', () => {
		const fault = new Error('fault');
		let uncaught: ReturnType<typeof collectUncaught>;

		/** Throws when the given event is passed on. */
		const failAt = (count: number) => {
			let calls = 0;
			return () => {
				if (++calls === count) {
					throw fault;
				}
			};
		};

		beforeEach(() => {
			uncaught = collectUncaught();
		});

		afterEach(async () => uncaught.restore());

		it('fails as truncated if the events of a read can\'t be passed on', async () => {
			// Guards against an answer that ends as complete although events are missing from it.
			start({onEvents: failAt(2)});
			events.head({status: 200, headers: []});
			receive(1);
			receive(2);
			await setImmediate();
			receive(3);
			events.end([]);
			assert.deepEqual(await end, {kind: 'failed', failure: 'truncated'});
			assert.deepEqual(writes, ['id: 1\n\n']);
			assert.deepEqual(uncaught.errors, [fault]);
		});

		const checkFirst = async (options: Partial<AttemptOptions>): Promise<void> => {
			start(options);
			events.head({status: 200, headers: []});
			receive(1);
			events.end([]);
			assert.deepEqual(await end, {kind: 'failed', failure: 'truncated'});
			await setImmediate();
			assert.deepEqual(writes, []);
			assert.deepEqual(uncaught.errors, [fault]);
		};

		// Both guard against an attempt that goes on after a part of its response was dropped.
		it('fails as truncated if the head can\'t be processed', async () => checkFirst({onHead: failAt(1)}));

		it('fails as truncated if the first event can\'t be passed on', async () => checkFirst({onEvents: failAt(1)}));

		it('ends if the events that arrived with a failure can\'t be passed on', async () => {
			// Guards against an attempt that holds its place at the endpoint after its connection has failed.
			start({onEvents: failAt(2)});
			events.head({status: 200, headers: []});
			receive(1, 2);
			events.failed('reset');
			assert.deepEqual(await end, {kind: 'failed', failure: 'truncated'});
			await setImmediate();
			assert.deepEqual(writes, ['id: 1\n\n']);
			assert.deepEqual(uncaught.errors, [fault]);
		});

		it('resumes after the last event that was written', async () => {
			// Guards against a gap at the next endpoint, which continues after the last event id.
			const progress = {firstAt: undefined, lastEventId: undefined, facts: undefined};
			const headers: Partial<CallHeaders> = {
				readResponse: () => facts as ResponseFacts,
				forCaller() {
					throw fault;
				},
			};
			start({progress, headers: headers as CallHeaders});
			events.head({status: 200, headers: []});
			receive(1);
			assert.deepEqual(await end, {kind: 'failed', failure: 'truncated'});
			assert.isUndefined(progress.lastEventId);
			await setImmediate();
		});
	});

	it('stops reading while the caller does not read', async () => {
		// Guards against a buffer that grows without bound.
		start({}, false);
		events.head({status: 200, headers: []});
		receive(1);
		receive(2, 3);
		await Promise.resolve();
		assert.deepEqual([writes.length, pauses], [2, 2]);
	});

	it('arms no timer for each event, and still detects silence after the last one', async () => {
		// Guards against timers that are set for each event, and against a timeout that counts from an earlier one.
		start();
		events.head({status: 200, headers: []});
		for (let event = 1; event <= 20; event++) {
			receive(event);
			await clock.tickAsync(20);
		}

		assert.equal(timersArmed, 2);
		await clock.tickAsync(779);
		let isEnded = false;
		void (async () => {
			await end;
			isEnded = true;
		})();

		await Promise.resolve();
		assert.isFalse(isEnded);
		await clock.tickAsync(2);
		assert.deepEqual(await end, {kind: 'failed', failure: 'silent'});
	});

	it('sends nothing once the deadline has passed, although the timer has not run', () => {
		// Guards against a connection that comes about in the turn in which the deadline passes.
		start({deadlineAt: performance.now()});
		assert.isFalse(events.beforeSend(false));
	});

	it('ends as late at the deadline although events arrive', async () => {
		// Guards against a deadline that events postpone.
		start({deadlineAt: performance.now() + 1000});
		events.head({status: 200, headers: []});
		for (let event = 1; event <= 9; event++) {
			receive(event);
			await clock.tickAsync(100);
		}

		receive(10);
		await clock.tickAsync(101);
		assert.deepEqual(await end, {kind: 'failed', failure: 'late'});
	});

	it('fails a stream that sends bytes without an event, however often they arrive', async () => {
		// Guards against an endpoint that occupies a request until its deadline with bytes that are no events.
		start();
		events.head({status: 200, headers: []});
		for (let ms = 0; ms < 1000; ms += 100) {
			events.data(Buffer.from('x'));
			await clock.tickAsync(100);
		}

		assert.deepEqual(await end, {kind: 'failed', failure: 'silent'});
		assert.isEmpty(writes);
	});

	it('fails a stream whose event grows without end, and releases its bytes', async () => {
		// Guards against an event that is buffered until the process has no memory left.
		let buffered = 0;
		let mostBuffered = 0;
		start({
			buffer: {
				add(bytes) {
					buffered += bytes;
					mostBuffered = Math.max(mostBuffered, buffered);
				},
			},
		});
		events.head({status: 200, headers: []});
		const chunk = Buffer.alloc(64 * 1024, 'x');
		for (let count = 0; count < 100; count++) {
			events.data(chunk);
			await Promise.resolve();
		}

		assert.deepEqual(await end, {kind: 'failed', failure: 'truncated'});
		assert.isBelow(mostBuffered, 2 * 1024 * 1024);
		assert.equal(buffered, 0);
	});

	it('waits for a plain response as long as its bytes arrive, and no longer', async () => {
		// Guards against a response that is given up while its endpoint sends it, because it takes long as a whole.
		start({isStream: false});
		events.head({status: 200, headers: []});
		for (let ms = 0; ms < 3000; ms += 500) {
			events.data(Buffer.from('x'));
			await clock.tickAsync(500);
		}

		events.end([]);
		assert.deepEqual(await end, {kind: 'answered', status: 200});
		start({isStream: false});
		events.head({status: 200, headers: []});
		events.data(Buffer.from('x'));
		await clock.tickAsync(801);
		assert.deepEqual(await end, {kind: 'failed', failure: 'silent'});
	});

	it('takes a request for not run where the head says so, whatever follows it', async () => {
		// Guards against a request that is not tried elsewhere because the endpoint's refusal has no end.
		const refusal: Partial<ResponseFacts> = {...facts, provesNotRun: true};
		const headers: Partial<CallHeaders> = {readResponse: () => refusal as ResponseFacts, forCaller: () => []};
		const expected: AttemptEnd = {kind: 'notRun', status: 503};
		const begin = (): void => {
			start({headers: headers as CallHeaders, mayMoveAway: () => false});
			events.head({status: 503, headers: []});
		};

		begin();
		for (let count = 0; count < 3; count++) {
			events.data(Buffer.alloc(30 * 1024, 'x'));
		}

		assert.deepEqual(await end, expected);
		begin();
		await clock.tickAsync(250);
		assert.deepEqual(await end, expected);
		begin();
		events.failed('reset');
		assert.deepEqual(await end, expected);
	});
});
