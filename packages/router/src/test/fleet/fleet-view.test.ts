import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createFleetView, type FleetDocument, type LiveEndpoint} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';

const document = (version: number, keyDigests: string[] = []): FleetDocument => ({
	version,
	routes: [],
	services: new Map(),
	cacheStores: [],
	workspaces: [{
		name: 'school', keyDigests, rank: undefined, isIsolated: false, rate: 0, burst: 0, countsTokens: true, defaultUnits: 1,
	}],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
	},
});

const endpoint = (more: Partial<LiveEndpoint> = {}): LiveEndpoint => ({
	id: 'e1', service: 'desk', address: '10.0.0.1:80', dataCentre: 'a', slots: 6, isLeaving: false, startedAt: 100, reportNumber: 5, software: 'v1', weights: new Map(), ...more,
});

describe('createFleetView', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'Date', 'setTimeout', 'clearTimeout']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('never reverts to an older document, nor to a key that was removed since', () => {
		const view = createFleetView(createSilentLog());
		view.acceptDocument(document(3, ['k1', 'k2']));
		view.acceptDocument(document(7, ['k1']));
		view.acceptDocument(document(3, ['k1', 'k2']));
		assert.equal(view.current()?.document.version, 7);
		assert.isFalse(view.current()?.workspaceOfKey.has('k2'));
	});

	it('accepts another document under the current version, which a restored store may give out again', () => {
		// Guards against a confirmed change that is never in force because its version was used before.
		const view = createFleetView(createSilentLog());
		let accepted = 0;
		view.onDocument(() => {
			accepted++;
		});
		view.acceptDocument(document(7, ['k1']));
		view.acceptDocument(document(7, ['k1']));
		assert.equal(accepted, 1);
		view.acceptDocument(document(7, ['k2']));
		assert.isTrue(view.current()?.workspaceOfKey.has('k2'));
		assert.isFalse(view.current()?.workspaceOfKey.has('k1'));
	});

	it('ignores outdated reports of an endpoint', () => {
		// An endpoint has reported that it is leaving. An earlier report of it, or one of the
		// previous process, arrives late and must not get it new requests.
		const view = createFleetView(createSilentLog());
		view.acceptEndpoint(endpoint({isLeaving: true, reportNumber: 6}));
		view.acceptEndpoint(endpoint({reportNumber: 5}));
		view.acceptEndpoint(endpoint({startedAt: 90, reportNumber: 9}));
		assert.isTrue(view.endpoint('e1')?.isLeaving);
		view.acceptEndpoint(endpoint({startedAt: 200, reportNumber: 1}));
		assert.isFalse(view.endpoint('e1')?.isLeaving);
	});

	it('measures the age of old weights from the first newer version', () => {
		// Weights are named twice, 5 s apart. 2 s later, engines on the first version are 7 s
		// behind, not 2 s. Measured from the newest naming, requests would still start there
		// after the limit of 8 s.
		const view = createFleetView(createSilentLog());
		view.acceptWeights('m', 1, 0);
		view.acceptWeights('m', 2, 0);
		clock.tick(5000);
		view.acceptWeights('m', 3, 0);
		clock.tick(2000);
		const named = view.namedWeights('m')!;
		assert.deepEqual([named.outdatedMs(1), named.outdatedMs(2), named.outdatedMs(3)], [7000, 2000, 0]);
	});

	it('measures it from the first newer version, however many were named since', () => {
		// Guards against weights that seem younger with each naming, because the earliest ones are forgotten.
		const view = createFleetView(createSilentLog());
		for (let version = 2; version <= 40; version++) {
			view.acceptWeights('m', version, 0);
			clock.tick(100);
		}

		assert.equal(view.namedWeights('m')!.outdatedMs(1), 3900);
		assert.equal(view.namedWeights('m')!.outdatedMs(39), 100);
	});

	it('learns the age of namings from a peer after a restart', () => {
		// A restarted daemon reads that version 4 is named, but not since when, so it must treat
		// older weights as infinitely outdated until a peer reports the age of each naming.
		const view = createFleetView(createSilentLog());
		view.acceptWeights('m', 4, Number.POSITIVE_INFINITY);
		assert.equal(view.namedWeights('m')!.outdatedMs(2), Number.POSITIVE_INFINITY);
		view.acceptNamingAge('m', 4, 1000);
		view.acceptNamingAge('m', 3, 5000);
		const named = view.namedWeights('m')!;
		assert.deepEqual([named.outdatedMs(3), named.outdatedMs(2)], [1000, 5000]);
		assert.deepEqual(view.recentWeights(2000), [['m', 4, 1000]]);
	});

	it('treats weights as infinitely outdated while a newer version may have been missed', () => {
		const view = createFleetView(createSilentLog());
		view.acceptWeights('m', 5, Number.POSITIVE_INFINITY);
		view.acceptNamingAge('m', 5, 1000);
		const named = view.namedWeights('m')!;
		assert.deepEqual([named.outdatedMs(2), named.outdatedMs(4)], [Number.POSITIVE_INFINITY, 1000]);
	});

	it('measures the age of the first weights when the first naming skips a version', () => {
		const view = createFleetView(createSilentLog());
		view.acceptWeights('m', 3, 0);
		clock.tick(1000);
		assert.equal(view.namedWeights('m')!.outdatedMs(1), 1000);
	});

	it('measures the age of weights from the start of a disconnection in which a naming may have been missed', () => {
		const view = createFleetView(createSilentLog());
		view.acceptWeights('m', 3, 0);
		clock.tick(30_000);
		view.acceptWeights('m', 5, 30_000);
		view.acceptNamingAge('m', 5, 1000);
		const named = view.namedWeights('m')!;
		assert.deepEqual([named.outdatedMs(3), named.outdatedMs(4)], [30_000, 1000]);
	});
});
