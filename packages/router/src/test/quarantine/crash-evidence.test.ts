import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createCrashEvidence, type CrashEvidence, type Suspect} from '../../lib/quarantine/crash-evidence.js';

const crashIntervalMs = 200;

describe('createCrashEvidence', () => {
	let clock: FakeTimers.Clock;
	let evidence: CrashEvidence;
	let starts: number;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
		evidence = createCrashEvidence();
		starts = 0;
	});

	afterEach(() => {
		clock.uninstall();
	});

	const at = (position: string) => (digest: string): Suspect => ({digest, position, parts: []});

	/** Adds a crash of a new process; returns the digests of the causes found. */
	const crash = (suspects: readonly Suspect[], pauseMs = crashIntervalMs): string[] => {
		clock.tick(pauseMs);
		starts++;
		const {causes} = evidence.add('vm-1', {
			endpoint: 'e', startedAt: starts, ageMs: 0, suspects,
		});
		return causes.map(({digest}) => digest);
	};

	it('finds the request that is in flight at three crashes, and lists these crashes', () => {
		assert.deepEqual(crash(['bad', 'a', 'b'].map(at(''))), []);
		assert.deepEqual(crash(['bad', 'c'].map(at(''))), []);
		clock.tick(crashIntervalMs);
		const {causes} = evidence.add('vm-2', {
			endpoint: 'e3', startedAt: 9, ageMs: 40, suspects: ['d', 'bad'].map(at('')),
		});
		assert.deepEqual(causes.map(({digest}) => digest), ['bad']);
		assert.deepEqual(causes[0].crashes.map(({endpoint, observers}) => [endpoint, observers]), [['e', ['vm-1']], ['e', ['vm-1']], ['e3', ['vm-2']]]);
		assert.equal(causes[0].crashes[2].ageMs, 40);
	});

	it('doesn\'t count crashes of a known cause against requests in flight beside it', () => {
		crash(['bad', 'beside'].map(at('')));
		crash(['bad'].map(at('')));
		crash(['bad', 'beside'].map(at('')));
		assert.equal(evidence.countCrashes('beside'), 0);
		assert.deepEqual(crash(['bad', 'beside'].map(at(''))), []);
	});

	it('finds the cause after another request was mistaken for it', () => {
		// Guards against a cause that keeps crashing endpoints because its first crashes were attributed to another request.
		crash(['other'].map(at('')));
		crash(['bad', 'other'].map(at('')));
		assert.deepEqual(crash(['bad', 'other'].map(at(''))), ['other']);
		assert.deepEqual(crash(['bad', 'c'].map(at(''))), ['bad']);
	});

	it('counts a crash once if several daemons report it', () => {
		for (const observer of ['vm-1', 'vm-2', 'vm-3', 'vm-4']) {
			evidence.add(observer, {
				endpoint: 'e', startedAt: 1, ageMs: 0, suspects: [at('')('busy')],
			});
		}

		assert.equal(evidence.countCrashes('busy'), 1);
	});

	it('doesn\'t find a stream that advances at each crash', () => {
		for (const position of ['', '4', '9', '17', '23']) {
			assert.deepEqual(crash([at(position)('stream')]), []);
		}
	});

	it('finds a stream that stops at the same event at each crash', () => {
		crash([at('7')('stream')]);
		crash([at('7')('stream')]);
		assert.deepEqual(crash([at('7')('stream')]), ['stream']);
	});

	it('counts simultaneous crashes of a group of endpoints once', () => {
		// Guards against refusing a popular request when a rack or data centre fails.
		for (let index = 0; index < 8; index++) {
			assert.deepEqual(crash([at('')('popular')], 1), []);
		}
	});

	it('clears a request that completed, even if a crash is reported later', () => {
		crash([at('')('popular')]);
		crash([at('')('popular')]);
		evidence.markCompleted('popular');
		assert.deepEqual(crash([at('')('popular')]), []);
		assert.equal(evidence.countCrashes('popular'), 0);
	});

	it('suspects a completed request again after a minute, since endpoints change', () => {
		evidence.markCompleted('request');
		clock.tick(60_001);
		crash([at('')('request')]);
		crash([at('')('request')]);
		assert.deepEqual(crash([at('')('request')]), ['request']);
	});

	it('ignores crashes older than ten minutes', () => {
		crash([at('')('rare')]);
		crash([at('')('rare')]);
		clock.tick(600_000);
		assert.deepEqual(crash([at('')('rare')]), []);
	});

	it('limits the stored crashes and suspects when many different requests are in flight', () => {
		const small = createCrashEvidence({maxCrashes: 4, maxSuspects: 2});
		for (let index = 0; index < 100; index++) {
			small.add('vm-1', {
				endpoint: 'e', startedAt: index, ageMs: 0, suspects: [at('')('first'), at('')(`a${index}`), at('')(`b${index}`)],
			});
		}

		assert.equal(small.countCrashes('b99'), 0);
		assert.equal(small.countCrashes('a0'), 0);
		assert.equal(small.countCrashes('a99'), 1);
	});
});
