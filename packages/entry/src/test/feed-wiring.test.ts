import {assert} from 'chai';
import {type FleetDocument, type LiveEndpoint, type Service} from 'hickorywalk/fleet.js';
import {createEntryParts} from '../lib/entry-parts.js';
import {type EntryParts} from '../lib/wiring/parts.js';
import {settingsWith} from './daemon-settings.js';

const service = (name: string): [string, Service] => [name, {name, maxConnections: 10, engine: undefined}];

const document = (version: number, services: readonly string[]): FleetDocument => ({
	version,
	routes: [],
	services: new Map(services.map(name => service(name))),
	cacheStores: [],
	workspaces: [],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
	},
});

const endpoint = (id: string, more: Partial<LiveEndpoint> = {}): LiveEndpoint => ({
	id, service: 'desk', address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 100, reportNumber: 1, software: 'v1', weights: new Map(), ...more,
});

describe('health of listed endpoints', () => {
	let parts: EntryParts;

	const fail = (id: string): void => {
		for (let count = 0; count < 3; count++) {
			parts.health.failed(id);
		}
	};

	beforeEach(() => {
		parts = createEntryParts(settingsWith(1)).cradle;
		// Creates the feed, which registers the listeners; the store is unreachable.
		parts.endpointFeed.ageMs();
	});

	afterEach(() => {
		parts.endpointFeed.close();
	});

	it('counts failures whether the endpoint or the document with its service arrives first', () => {
		parts.view.acceptEndpoint(endpoint('e1'));
		parts.view.acceptEndpoint(endpoint('e2'));
		parts.view.acceptDocument(document(1, ['desk']));
		parts.view.acceptEndpoint(endpoint('e3'));
		fail('e1');
		assert.deepEqual(parts.health.ejectedOf('desk'), ['e1']);
		fail('e3');
		assert.deepEqual(parts.health.ejectedOf('desk'), ['e1'], 'at most one of three endpoints is ejected');
	});

	it('keeps an ejection across heartbeats, and drops it when the endpoint is removed', () => {
		parts.view.acceptDocument(document(1, ['desk']));
		parts.view.acceptEndpoint(endpoint('e1'));
		parts.view.acceptEndpoint(endpoint('e2'));
		fail('e1');
		parts.view.acceptEndpoint(endpoint('e1', {reportNumber: 2}));
		assert.equal(parts.health.healthOf('e1'), 'ejected');
		parts.view.dropEndpoint('e1');
		parts.view.acceptEndpoint(endpoint('e1', {startedAt: 200}));
		assert.equal(parts.health.healthOf('e1'), 'healthy');
	});

	it('takes a listing of 12,000 endpoints of one service before two readiness checks are missed', () => {
		// Guards against a daemon that answers nobody for many seconds at its start, since each endpoint costs time for all others.
		parts.view.acceptDocument(document(1, ['desk']));
		const startedAt = performance.now();
		for (let index = 0; index < 12_000; index++) {
			parts.view.acceptEndpoint(endpoint(`e${index}`));
		}

		assert.isBelow(performance.now() - startedAt, 2000);
		fail('e0');
		assert.deepEqual(parts.health.ejectedOf('desk'), ['e0']);
	});

	it('knows no weights of a process from the one before it under its id', () => {
		// Guards against an engine that gets no requests, and no order, because its former process ran newer weights.
		const engine = (startedAt: number, version: number) => endpoint('e1', {startedAt, weights: new Map([['m', version]])});
		parts.view.acceptEndpoint(engine(100, 1));
		parts.versions.seen('e1', 3);
		parts.view.acceptEndpoint(engine(200, 2));
		assert.equal(parts.versions.of(engine(200, 2), 'm').version, 2);
	});

	it('moves an endpoint that restarts under another service', () => {
		parts.view.acceptDocument(document(1, ['mail', 'desk']));
		parts.view.acceptEndpoint(endpoint('e1'));
		parts.view.acceptEndpoint(endpoint('e2', {service: 'mail'}));
		parts.view.acceptEndpoint(endpoint('e1', {service: 'mail', startedAt: 200}));
		fail('e1');
		assert.deepEqual([parts.health.ejectedOf('desk'), parts.health.ejectedOf('mail')], [[], ['e1']]);
	});
});
