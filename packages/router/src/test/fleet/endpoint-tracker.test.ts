import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {
	createEndpointTracker, createFleetView, type EndpointTracker, type FleetView, type LiveEndpoint,
} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';

const row = (id: string): {key: string; version: number; item: LiveEndpoint} => ({
	key: id,
	version: 1,
	item: {
		id, service: 'desk', address: '10.0.0.1:80', dataCentre: 'a', slots: 6, isLeaving: false, startedAt: 100, reportNumber: 5, software: 'v1', weights: new Map(),
	},
});

const deleted = (id: string) => ({key: id, version: 2, item: undefined});

describe('createEndpointTracker', () => {
	let clock: FakeTimers.Clock;
	let view: FleetView;
	let tracker: EndpointTracker;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		view = createFleetView(createSilentLog());
		tracker = createEndpointTracker({view, graceMs: 1700, graceWindowMs: 3600});
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
