import {assert} from 'chai';
import fc from 'fast-check';
import {createFleetView, type FleetDocument, type LiveEndpoint} from '../../fleet.js';
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

const endpoint = (startedAt: number, reportNumber: number, isLeaving: boolean): LiveEndpoint => ({
	id: 'e1', service: 'desk', address: '10.0.0.1:80', dataCentre: 'a', slots: 6, isLeaving, startedAt, reportNumber, software: 'v1', weights: new Map(),
});

describe('createFleetView with generated histories', () => {
	it('keeps the newest document, in whatever order and however often documents arrive', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 50}), {minLength: 1}), versions => {
			const view = createFleetView(createSilentLog());
			let newest = 0;
			for (const version of versions) {
				view.acceptDocument(document(version));
				newest = Math.max(newest, version);
				assert.equal(view.current()?.document.version, newest);
			}
		}), {seed: 11, numRuns: 200});
	});

	it('keeps the latest report of the latest process of an endpoint, in whatever order reports arrive', () => {
		// Listings, feeds and peers' reports overtake each other. An earlier report must not
		// make an endpoint available again that has reported to be leaving.
		const reports = fc.array(fc.tuple(fc.integer({min: 1, max: 4}), fc.integer({min: 1, max: 12})), {minLength: 1});
		fc.assert(fc.property(reports, arrivals => {
			const view = createFleetView(createSilentLog());
			let newest = [0, 0];
			for (const [startedAt, reportNumber] of arrivals) {
				// A process starts leaving with its tenth report and never becomes available again.
				view.acceptEndpoint(endpoint(startedAt, reportNumber, reportNumber >= 10));
				if (startedAt > newest[0] || (startedAt === newest[0] && reportNumber > newest[1])) {
					newest = [startedAt, reportNumber];
				}

				const held = view.endpoint('e1')!;
				assert.deepEqual([held.startedAt, held.reportNumber, held.isLeaving], [newest[0], newest[1], newest[1] >= 10]);
			}
		}), {seed: 11, numRuns: 300});
	});
});
