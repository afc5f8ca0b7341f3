import {type FleetDocument} from '../../fleet.js';

/** A document with one service of engines that run the model `m`. */
export const engineDocument: FleetDocument = {
	version: 1,
	routes: [],
	services: new Map([['engines', {
		name: 'engines', maxConnections: 10, engine: {
			slots: 8, memoryTokens: 1000, tokenBytes: 0, linkBytesPerMs: 1, models: ['m'],
		},
	}]]),
	cacheStores: [],
	workspaces: [],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
	},
};
