import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createSilentLog, type Log} from '../../observability.js';
import {
	createQuarantine, type Quarantine, type QuarantineReport, type Refusal,
} from '../../quarantine.js';

const firstTermMs = 300_000;

describe('createQuarantine', () => {
	let clock: FakeTimers.Clock;
	let saved: Refusal[];
	let lines: string[];
	let claimed: Map<string, number>;
	let starts: number;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
		saved = [];
		lines = [];
		claimed = new Map();
		starts = 0;
	});

	afterEach(() => {
		clock.uninstall();
	});

	const write = (sentence: string): void => {
		lines.push(sentence);
	};

	const log: Log = {...createSilentLog(), info: write, warn: write};

	const open = (name: string, maxRefusals = 1024): Quarantine => createQuarantine({
		name,
		store: {
			save(refusal) {
				saved.push(refusal);
			},
			async claim({digest, term}) {
				if ((claimed.get(digest) ?? 1) >= term) {
					return false;
				}

				claimed.set(digest, term);
				return true;
			},
			remove(digest) {
				claimed.delete(digest);
			},
		},
		maxRefusals,
		onUpdate: () => undefined,
		log,
	});

	const crash = (quarantine: Quarantine, digest: string): void => {
		clock.tick(200);
		starts++;
		quarantine.recordCrash({
			endpoint: 'e', startedAt: starts, ageMs: 0, suspects: [{digest, position: '', parts: []}],
		});
	};

	const crashThrice = (quarantine: Quarantine, digest: string): void => {
		for (let count = 0; count < 3; count++) {
			crash(quarantine, digest);
		}
	};

	const sendReport = (from: Quarantine, to: Quarantine): void => {
		to.applyPeerReport('peer', from.report());
	};

	it('lists the refusals in force, so that a store that lost them can be given them again', () => {
		const daemon = open('a');
		crashThrice(daemon, 'bad');
		assert.deepEqual(daemon.current(), [{digest: 'bad', term: 1, msLeft: firstTermMs}]);
		clock.tick(firstTermMs);
		assert.isEmpty(daemon.current());
		crashThrice(daemon, 'worse');
		daemon.markCompleted('worse');
		assert.isEmpty(daemon.current());
	});

	it('refuses a request on all daemons when three of them each observed a crash', () => {
		const daemons = ['a', 'b', 'c', 'd'].map(name => open(name));
		for (const daemon of daemons.slice(0, 3)) {
			crash(daemon, 'bad');
			for (const peer of daemons) {
				if (peer !== daemon) {
					sendReport(daemon, peer);
				}
			}
		}

		assert.deepEqual(daemons.map(daemon => daemon.standingOf('bad')), ['refused', 'refused', 'refused', 'refused']);
		assert.deepEqual(saved, [{digest: 'bad', term: 1, msLeft: firstTermMs}]);
		assert.include(lines, 'Endpoint crashed under a refused request.');
	});

	it('lets one daemon send a request once when its term ends, and refuses it meanwhile for twice as long', async () => {
		// Guards against three more crashes whenever a refusal ends.
		const [a, b] = [open('a'), open('b')];
		crashThrice(a, 'bad');
		sendReport(a, b);
		clock.tick(firstTermMs + 1);
		assert.deepEqual([a.standingOf('bad'), b.standingOf('bad')], ['due', 'due']);
		assert.deepEqual(await Promise.all([a.claim('bad'), b.claim('bad')]), [true, false]);
		assert.equal(a.standingOf('bad'), 'refused');
		sendReport(a, b);
		clock.tick(firstTermMs + 1);
		assert.deepEqual([a.standingOf('bad'), b.standingOf('bad')], ['refused', 'refused']);
		clock.tick(firstTermMs + 1);
		assert.equal(b.standingOf('bad'), 'due');
	});

	it('accepts a completed request on all daemons, despite delayed reports of its refusal', async () => {
		const [a, b] = [open('a'), open('b')];
		crashThrice(a, 'mended');
		sendReport(a, b);
		const late: QuarantineReport = b.report();
		clock.tick(firstTermMs + 1);
		assert.isTrue(await a.claim('mended'));
		a.markCompleted('mended');
		sendReport(a, b);
		a.applyPeerReport('late', late);
		b.applyPeerReport('late', late);
		assert.deepEqual([a.standingOf('mended'), b.standingOf('mended')], ['clear', 'clear']);
	});

	it('lifts a peer\'s refusal of a request that completed here recently', () => {
		// Guards against refusing a popular request on daemons that observed only its crashes.
		const [a, b] = [open('a'), open('b')];
		b.markCompleted('popular');
		crashThrice(a, 'popular');
		sendReport(a, b);
		sendReport(b, a);
		assert.deepEqual([a.standingOf('popular'), b.standingOf('popular')], ['clear', 'clear']);
	});

	it('restores refusals from the store after a restart', () => {
		const daemon = open('a');
		daemon.restore([{digest: 'bad', term: 2, msLeft: 1000}]);
		assert.equal(daemon.standingOf('bad'), 'refused');
		clock.tick(1001);
		assert.equal(daemon.standingOf('bad'), 'due');
	});

	it('calls listeners with each request that becomes refused', () => {
		const daemon = open('a');
		const refused: string[] = [];
		daemon.onRefused(digest => {
			refused.push(digest);
		});
		crashThrice(daemon, 'bad');
		daemon.restore([{digest: 'worse', term: 1, msLeft: 1000}]);
		assert.deepEqual(refused, ['bad', 'worse']);
	});

	it('evicts the least recently used refusal beyond the maximum, and logs it', () => {
		const daemon = open('a', 2);
		for (const digest of ['one', 'two', 'three']) {
			crashThrice(daemon, digest);
		}

		assert.deepEqual(['one', 'two', 'three'].map(digest => daemon.standingOf(digest)), ['clear', 'refused', 'refused']);
		assert.include(lines, 'Refusal evicted, since there are too many.');
	});
});
