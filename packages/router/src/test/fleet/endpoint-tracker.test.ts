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
		id, service: 'desk', address: '10.0.0.1:80', dataCentre: 'a', slots: 6, isLeaving: false, startedAt: 100, reportNumber: 5, weights: new Map(),
	},
});

const gone = (id: string) => ({key: id, version: 2, item: undefined});

describe('createEndpointTracker', () => {
	let clock: FakeTimers.Clock;
	let view: FleetView;
	let tracker: EndpointTracker;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		view = createFleetView(createSilentLog());
		tracker = createEndpointTracker({view, graceMs: 1700, outageEchoMs: 3600});
		tracker.replace([row('e1'), row('e2')], 0);
	});

	afterEach(() => {
		tracker.close();
		clock.uninstall();
	});

	it('drops an endpoint at once when its entry goes in calm', () => {
		tracker.update([gone('e1')], 0);
		assert.isUndefined(view.endpoint('e1'));
	});

	it('keeps endpoints whose entries lapsed while the store was away, until they should be back', () => {
		// The store is away for 6 s and takes no heartbeats, so all entries lapse.
		// Its first answer lists nobody; the endpoints live and come back within 2 s.
		// Callers must be served meanwhile, and the one that does not come back goes.
		clock.tick(6000);
		tracker.regained?.(6000, 0);
		tracker.replace([], 6000);
		assert.lengthOf(view.endpointsOf('desk'), 2);
		clock.tick(1000);
		tracker.update([row('e1')], 0);
		clock.tick(1000);
		assert.deepEqual(view.endpointsOf('desk').map(endpoint => endpoint.id), ['e1']);
	});
});
