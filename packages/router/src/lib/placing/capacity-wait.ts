/** Estimates when a service accepts requests again, for the `Retry-After` of refusals. */
import {type EndpointPresence} from '../fleet/endpoint-presence.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type BrittleEndpoints} from './brittle-endpoints.js';
import {type EndpointBackoff} from './endpoint-backoff.js';
import {type EndpointLimits} from './endpoint-limits.js';

/** Options of {@link createCapacityWait}. */
export type CapacityWaitOptions = {
	view: FleetView;
	presence: EndpointPresence;
	backoff: EndpointBackoff;
	brittle: BrittleEndpoints;
	limits: EndpointLimits;
	/** Returns a number in [0, 1). */
	random: () => number;
};

/**
 * Milliseconds until the service accepts another request from this daemon; `undefined` unless
 * each of its endpoints has asked for a pause or has a rate limit, or all that are left turned requests away.
 */
export type CapacityWait = (service: string) => number | undefined;

/** Random extension of the time until a pause ends, so that callers don't return together. */
const extensionRatio = 0.25;

/** Creates the estimate. */
export function createCapacityWait({
	view, presence, backoff, brittle, limits, random,
}: CapacityWaitOptions): CapacityWait {
	return service => {
		const usable = view.endpointsOf(service).filter(endpoint => !endpoint.isLeaving && !presence.hasEnded(endpoint));
		const pausesMs = usable.map(endpoint => backoff.leftMs(endpoint));
		const open = usable.filter((_endpoint, index) => pausesMs[index] === 0);
		const limitedMs = open.length === 0 ? Number.POSITIVE_INFINITY : limits.waitMs(open) ?? brittle.waitMs(open);
		if (usable.length === 0 || limitedMs === undefined) {
			return undefined;
		}

		const firstEndMs = Math.min(...pausesMs.filter(ms => ms > 0));
		return Math.min(limitedMs, firstEndMs * (1 + (extensionRatio * random())));
	};
}
