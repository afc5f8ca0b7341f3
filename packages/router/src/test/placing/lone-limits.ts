import {createSilentLog} from '../../observability.js';
import {createEndpointLimits, type EndpointLimits} from '../../placing.js';

/** Creates endpoint limits of a daemon without peers. */
export const createLoneLimits = (): EndpointLimits => createEndpointLimits({
	name: 'vm-1', peers: () => [], isListed: () => true, onUpdate: () => undefined, log: createSilentLog(),
});
