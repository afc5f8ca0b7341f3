/** The document of a fleet with one service. */
import {type FleetDocument} from '../../fleet.js';

/** Options of {@link fleetDocument}. */
export type FleetDocumentOptions = {
	isEngine: boolean;
	memoryTokens?: number;
	/** Size of a cached token; 0 if the operator doesn't state it. */
	tokenBytes?: number;
};

/** Creates the document. */
export const fleetDocument = ({isEngine, memoryTokens = 93_670, tokenBytes = 18_500}: FleetDocumentOptions): FleetDocument => ({
	version: 1,
	routes: [],
	services: new Map([['service', {
		name: 'service', maxConnections: 100_000, engine: isEngine
			? {
				slots: 64, memoryTokens, tokenBytes, linkBytesPerMs: 46_250_000, models: ['m'],
			}
			: undefined,
	}]]),
	cacheStores: [],
	workspaces: [],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
	},
});

/** The value below which a fraction of the values lies. */
export const quantile = (values: readonly number[], fraction: number): number =>
	values.toSorted((a, b) => a - b)[Math.min(values.length - 1, Math.floor(values.length * fraction))];
