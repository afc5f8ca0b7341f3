import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {type LiveEndpoint} from '../../fleet.js';
import {
	createCrashWatch, type CrashWatch, type ObservedCrash, type ProcessState,
} from '../../quarantine.js';

const endpoint: LiveEndpoint = {
	id: 'e1', service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 7, reportNumber: 1, software: 'v1', weights: new Map(),
};

describe('createCrashWatch', () => {
	let clock: FakeTimers.Clock;
	let crashes: ObservedCrash[];
	let isRefusing: boolean;
	let checks: number;
	let state: ProcessState;
	let watch: CrashWatch;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		crashes = [];
		checks = 0;
		isRefusing = false;
		state = 'listed';
		watch = createCrashWatch({
			async hasCrashed() {
				checks++;
				return isRefusing;
			},
			stateOf: () => state,
			onCrash(crash) {
				crashes.push(crash);
			},
		});
	});

	afterEach(() => {
		clock.uninstall();
	});

	const digests = (): string[][] => crashes.map(({suspects}) => suspects.map(({digest}) => digest));

	it('reports connections that break together as one crash if the endpoint refuses new ones', async () => {
		isRefusing = true;
		watch.reportBrokenConnection(endpoint, {digest: 'a', position: '', parts: []});
		watch.reportBrokenConnection(endpoint, {digest: 'b', position: '4', parts: []});
		await clock.tickAsync(20);
		watch.reportBrokenConnection(endpoint, {digest: 'c', position: '', parts: []});
		await clock.tickAsync(20);
		assert.deepEqual(digests(), [['a', 'b'], ['c']]);
		assert.equal(checks, 1);
		assert.deepEqual([crashes[0].endpoint, crashes[0].startedAt, crashes[0].ageMs], ['e1', 7, 10]);
	});

	it('reports no crash when an endpoint that keeps running resets a connection', async () => {
		// Guards against refusing requests because an endpoint fails some of them, or because a link is down.
		watch.reportBrokenConnection(endpoint, {digest: 'a', position: '', parts: []});
		await clock.tickAsync(20_000);
		assert.lengthOf(crashes, 0);
	});

	it('reports a crash when the endpoint restarts at once with another id', async () => {
		watch.reportBrokenConnection(endpoint, {digest: 'a', position: '', parts: []});
		await clock.tickAsync(300);
		state = 'ended';
		await clock.tickAsync(400);
		assert.deepEqual(digests(), [['a']]);
	});

	it('reports no crash when the end of a process was announced', async () => {
		// Guards against refusing requests while endpoints are drained or replaced.
		isRefusing = true;
		state = 'leaving';
		watch.reportBrokenConnection(endpoint, {digest: 'a', position: '', parts: []});
		state = 'listed';
		isRefusing = false;
		watch.reportBrokenConnection(endpoint, {digest: 'b', position: '', parts: []});
		await clock.tickAsync(50);
		state = 'leaving';
		await clock.tickAsync(200);
		state = 'ended';
		await clock.tickAsync(20_000);
		assert.lengthOf(crashes, 0);
	});
});
