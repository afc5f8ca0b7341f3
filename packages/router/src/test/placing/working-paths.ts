import {createSilentLog} from '../../observability.js';
import {createEndpointPaths, type EndpointPaths} from '../../paths.js';

/** Creates paths that are checked with success. */
export const createWorkingPaths = (): EndpointPaths => createEndpointPaths({
	checkConnection: async () => 'accepted', onLost: () => undefined, random: () => 0.5, log: createSilentLog(),
});
