import {createSilentLog} from '../../observability.js';
import {
	type BrittleEndpoints, createBrittleEndpoints, createEndpointLimits, type EndpointLimits,
} from '../../placing.js';

/** Creates endpoint limits of a daemon without peers. */
export const createLoneLimits = (): EndpointLimits => createEndpointLimits({
	name: 'vm-1', peers: () => [], isListed: () => true, onUpdate: () => undefined, log: createSilentLog(),
});

/** Creates the protection of brittle endpoints. */
export const createLoneBrittle = (): BrittleEndpoints => createBrittleEndpoints({
	onUpdate: () => undefined, log: createSilentLog(),
});
