import {assert} from 'chai';
import {createFleetView, type FleetView, type LiveEndpoint} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {createUnprovenVersions, type UnprovenVersions} from '../../releases.js';

describe('createUnprovenVersions', () => {
	let view: FleetView;
	let releases: UnprovenVersions;

	const list = (id: string, software: string, more: Partial<LiveEndpoint> = {}): void => {
		view.acceptEndpoint({
			id, service: 'desk', address: '10.0.0.1:80', dataCentre: 'a', slots: 6, isLeaving: false, startedAt: 1, reportNumber: 1, software, weights: new Map(), ...more,
		});
	};

	const order = (version: string, number: number): void => {
		releases.ordered({service: 'desk', version, durationMs: 12_000}, number);
	};

	const serving = (): string[] => releases.endpointsOf('desk').map(({id}) => id);

	beforeEach(() => {
		view = createFleetView(createSilentLog());
		releases = createUnprovenVersions({view, log: createSilentLog()});
		list('old1', 'v1');
		list('old2', 'v1');
	});

	it('leaves out no version without an order, as when endpoints are replaced one after the other', () => {
		list('new1', 'v2');
		assert.deepEqual(serving(), ['old1', 'old2', 'new1']);
	});

	it('leaves out the endpoints of an ordered version, whether they are listed before or after the order', () => {
		list('new1', 'v2');
		order('v2', 5);
		list('new2', 'v2');
		assert.deepEqual(serving(), ['old1', 'old2']);
	});

	it('leaves out nothing of a version that already serves alone', () => {
		order('v1', 5);
		assert.deepEqual(serving(), ['old1', 'old2']);
	});

	it('lets an ordered version serve once no other endpoint is left', () => {
		list('new1', 'v2');
		order('v2', 5);
		view.dropEndpoint('old1');
		assert.deepEqual(serving(), ['old2']);
		list('old2', 'v1', {isLeaving: true, reportNumber: 2});
		assert.deepEqual(serving(), ['old2', 'new1']);
	});

	it('goes back to the version that served before when the operator orders it again', () => {
		// Guards against the withdrawn version taking over because both have been ordered.
		list('new1', 'v2');
		order('v2', 5);
		order('v1', 6);
		assert.deepEqual(serving(), ['old1', 'old2']);
	});

	it('ignores an order that is older than the latest', () => {
		list('new1', 'v2');
		order('v2', 5);
		order('v1', 4);
		order('v2', 5);
		assert.deepEqual(serving(), ['old1', 'old2']);
	});
});
