import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {
	createEndpointTracker, createFleetView, type EndpointTracker, type FleetView, type LiveEndpoint,
} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';

const row = (id: string, more: Partial<LiveEndpoint> = {}): {key: string; version: number; item: LiveEndpoint} => ({
	key: id,
	version: 1,
	item: {
		id, service: 'desk', address: '10.0.0.1:80', dataCentre: 'a', slots: 6, isLeaving: false, startedAt: 100, reportNumber: 5, software: 'v1', weights: new Map(), ...more,
	},
});

const heartbeatMs = 1200;

const deleted = (id: string) => ({key: id, version: 2, item: undefined});

describe('createEndpointTracker', () => {
	let clock: FakeTimers.Clock;
	let view: FleetView;
	let tracker: EndpointTracker;
	let missed: number;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		view = createFleetView(createSilentLog());
		missed = 0;
		tracker = createEndpointTracker({
			view, graceMs: 1700, graceWindowMs: 3600, expiryMs: 4800,
			onMissed() {
				missed++;
			},
		});
		tracker.replace([row('e1'), row('e2')], 0);
	});

	afterEach(() => {
		tracker.close();
		clock.uninstall();
	});

	it('drops an endpoint immediately when its entry is deleted without an outage', () => {
		tracker.update([deleted('e1')], 0);
		assert.isUndefined(view.endpoint('e1'));
	});

	it('tells once that an endpoint has come and gone unseen', () => {
		// Guards against what is known of past endpoints being taken for complete after a gap in the list.
		tracker.update([deleted('e1'), row('e3')], 0);
		tracker.update([deleted('e1'), deleted('e3')], 0);
		assert.equal(missed, 0);
		tracker.update([deleted('e4'), deleted('e5')], 2000);
		tracker.update([deleted('e4')], 0);
		assert.equal(missed, 1);
	});

	it('takes an entry that can\'t be decoded, and its removal, for no endpoint that has come and gone', () => {
		// Guards against streams that are refused at every daemon because of one entry of another writer.
		tracker.update([{...deleted('odd'), text: '{}'}], 0);
		tracker.update([{...deleted('odd'), text: '[]'}, row('e3')], 0);
		tracker.update([deleted('odd')], 0);
		tracker.replace([row('e1'), row('e2'), row('e3'), {...deleted('odd-2'), text: ''}], 0);
		assert.equal(missed, 0);
		assert.isDefined(view.endpoint('e3'));
	});

	const checkBelievedAgain = (more: Partial<LiveEndpoint>): void => {
		tracker.update([row('e1', more)], 0);
		for (let reportNumber = 6; reportNumber < 10; reportNumber++) {
			clock.tick(heartbeatMs);
			tracker.update([row('e1', {reportNumber})], 0);
		}

		assert.deepInclude(view.endpoint('e1'), {
			startedAt: 100, reportNumber: 9, isLeaving: false, address: '10.0.0.1:80',
		});
	};

	for (const more of [{startedAt: 9e12}, {reportNumber: 1e15}, {startedAt: 9e12, isLeaving: true, address: '10.0.0.9:80'}]) {
		// Guards against endpoints that are lost for good because of one row with a number too large.
		it(`believes an endpoint again whose rows go on after one that another writer left with ${JSON.stringify(more)}`, () => {
			checkBelievedAgain(more);
		});
	}

	it('keeps the notice of a leaving endpoint whose rows go on after one of another writer', () => {
		// Guards against requests to an endpoint that is stopping, because of one row with a number too large.
		view.markLeaving({id: 'e1', startedAt: 100}, 'answer');
		tracker.update([row('e1', {startedAt: 9e12})], 0);
		for (let reportNumber = 6; reportNumber < 10; reportNumber++) {
			clock.tick(heartbeatMs);
			tracker.update([row('e1', {reportNumber})], 0);
		}

		assert.deepInclude(view.endpoint('e1'), {startedAt: 100, reportNumber: 9, isLeaving: true});
	});

	it('takes late rows of a former process for no sign of life', () => {
		// Guards against requests to a process that has ended because the store performed its last writes late.
		tracker.update([row('e1', {startedAt: 200, reportNumber: 1})], 0);
		for (const reportNumber of [6, 7, 8, 9, 8, 8]) {
			tracker.update([row('e1', {reportNumber})], 0);
		}

		clock.tick(heartbeatMs);
		tracker.update([row('e1', {startedAt: 200, reportNumber: 2})], 0);
		tracker.update([row('e1', {reportNumber: 8})], 0);
		assert.deepInclude(view.endpoint('e1'), {startedAt: 200, reportNumber: 2});
	});

	it('takes late rows of a process that is leaving for no sign of life', () => {
		// Guards against requests to a leaving endpoint because the store performed its earlier writes late.
		tracker.update([row('e1', {reportNumber: 20, isLeaving: true})], 0);
		for (let reportNumber = 6; reportNumber < 20; reportNumber++) {
			clock.tick(heartbeatMs);
			tracker.update([row('e1', {reportNumber})], 0);
		}

		assert.isTrue(view.endpoint('e1')?.isLeaving);
	});

	it('takes the removal of a large service that is read twice for no news', () => {
		// Guards against streams that are refused because removals of listed endpoints were forgotten meanwhile.
		const ids = Array.from({length: 12_000}, (_item, index) => `r${index}`);
		tracker.update(ids.map(id => row(id)), 0);
		for (let count = 0; count < 2; count++) {
			tracker.update(ids.map(id => deleted(id)), 0);
		}

		assert.equal(missed, 0);
	});

	it('tells that endpoints may have come and gone when the list is read anew after a gap', () => {
		// Guards against the same where the store no longer has the removals.
		tracker.replace([row('e1'), row('e2')], 100);
		assert.equal(missed, 0);
		tracker.replace([row('e1'), row('e2')], 2000);
		assert.equal(missed, 1);
		tracker.restored?.(0);
		tracker.replace([row('e1'), row('e2')], 2000);
		assert.equal(missed, 1);
	});

	it('keeps endpoints whose rows a restored store lacks until they have had the time to write them again', () => {
		// Guards against a fleet without endpoints after a restore that no outage of note preceded.
		tracker.restored?.(0);
		tracker.replace([row('e1')], 0);
		clock.tick(1600);
		assert.isDefined(view.endpoint('e2'));
		clock.tick(200);
		assert.isUndefined(view.endpoint('e2'));
	});

	it('keeps endpoints that a restored store lacks no longer when the listing comes late', () => {
		// Guards against requests to an endpoint beyond the bound, when the daemon that reads the list was lost as well.
		clock.tick(1100);
		tracker.restored?.(1100);
		tracker.replace([row('e1')], 1100);
		clock.tick(590);
		assert.isDefined(view.endpoint('e2'));
		clock.tick(20);
		assert.isUndefined(view.endpoint('e2'));
	});

	describe('with an endpoint that has left, and a store restored from a copy in which it is ready', () => {
		beforeEach(() => {
			tracker.update([deleted('e1')], 0);
			clock.tick(2000);
			tracker.restored?.(0);
			tracker.replace([row('e1', {reportNumber: 4}), row('e2')], 0);
		});

		it('does not list the endpoint again, also when the list is repeated', () => {
			// Guards against requests to an endpoint that the store itself had declared gone.
			clock.tick(1000);
			tracker.replace([row('e1', {reportNumber: 5}), row('e2')], 0);
			assert.isUndefined(view.endpoint('e1'));
			tracker.update([deleted('e1')], 0);
			clock.tick(10_000);
			assert.isUndefined(view.endpoint('e1'));
		});

		it('lists it at once when it has written a later row, or has started again', () => {
			tracker.update([row('e1', {reportNumber: 6})], 0);
			assert.equal(view.endpoint('e1')?.reportNumber, 6);
			tracker.update([deleted('e1')], 0);
			tracker.restored?.(0);
			tracker.update([row('e1', {startedAt: 300, reportNumber: 1})], 0);
			assert.equal(view.endpoint('e1')?.startedAt, 300);
		});

		it('lists it when its row outlasts the time in which the store removes rows of ended endpoints', () => {
			// Guards against an endpoint that runs and gets no requests for good.
			clock.tick(4700);
			assert.isUndefined(view.endpoint('e1'));
			clock.tick(200);
			assert.isDefined(view.endpoint('e1'));
		});

		it('drops the row with a listing that no longer has it', () => {
			tracker.replace([row('e2')], 0);
			clock.tick(10_000);
			assert.isUndefined(view.endpoint('e1'));
		});
	});

	it('keeps endpoints whose entries expired during a store outage for the grace period', () => {
		// During a 6 s outage the store accepts no heartbeats, so all entries expire and its
		// first listing is empty. The endpoints still run and are listed again within 2 s;
		// dropping them would leave callers without any. One that isn't listed again is dropped.
		clock.tick(6000);
		tracker.recovered?.(6000, 0);
		tracker.replace([], 6000);
		assert.lengthOf(view.endpointsOf('desk'), 2);
		clock.tick(1000);
		tracker.update([row('e1')], 0);
		clock.tick(1000);
		assert.deepEqual(view.endpointsOf('desk').map(endpoint => endpoint.id), ['e1']);
	});
});
