import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {
	createDocumentGuard, createFleetView, type DocumentGuard, type FleetDocument, type FleetView,
} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';

const document = (version: number): FleetDocument => ({
	version,
	routes: [],
	services: new Map(),
	cacheStores: [],
	workspaces: [],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
	},
});

describe('createDocumentGuard', () => {
	let clock: FakeTimers.Clock;
	let view: FleetView;
	let guard: DocumentGuard;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
		view = createFleetView(createSilentLog());
		guard = createDocumentGuard({view, maxWaitMs: 10_000});
		view.acceptDocument(document(20));
	});

	afterEach(() => {
		clock.uninstall();
	});

	const versionInForce = (): number | undefined => guard.current()?.document.version;

	it('serves by no document that is older than the one of a peer', () => {
		guard.inForceElsewhere(27);
		assert.isUndefined(versionInForce());
		view.acceptDocument(document(27));
		assert.equal(versionInForce(), 27);
	});

	it('serves by the document that it has when no peer knows a newer one', () => {
		assert.equal(versionInForce(), 20);
		guard.inForceElsewhere(20);
		assert.equal(versionInForce(), 20);
	});

	it('goes on serving when a newer document is in force elsewhere later, as it may be cut off from the store', () => {
		// Guards against daemons that refuse all requests during each change of the document.
		guard.inForceElsewhere(20);
		assert.equal(versionInForce(), 20);
		guard.inForceElsewhere(27);
		assert.equal(versionInForce(), 20);
	});

	it('serves after a while by the document that it has, should the newer one not be written again', () => {
		guard.inForceElsewhere(27);
		clock.tick(9999);
		assert.isUndefined(versionInForce());
		clock.tick(1);
		assert.equal(versionInForce(), 20);
	});
});
