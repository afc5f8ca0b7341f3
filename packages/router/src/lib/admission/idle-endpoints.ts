/** Finds the endpoints of a service that run nothing. */
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type EndpointLoadTracker} from '../placing/endpoint-load-tracker.js';

/** Options of {@link createIdleEndpoints}. */
export type IdleEndpointsOptions = {
	view: Pick<FleetView, 'endpointsOf'>;
	loadTracker: Pick<EndpointLoadTracker, 'load'>;
};

/** Looks up idle endpoints. */
export type IdleEndpoints = {
	/** Whether nothing is known to run at the endpoint. */
	isIdle: (endpoint: LiveEndpoint) => boolean;
	/** Ids of the service's endpoints that are busy; `undefined` if all are. */
	busyUnlessAll: (service: string) => ReadonlySet<string> | undefined;
};

/**
 * Time in milliseconds for which a service counts as busy once all of its endpoints were. The look-up
 * reads each endpoint of the service, which at 1,200 endpoints would take longer than the refusal it belongs to.
 */
const allBusyTtlMs = 25;

/** Creates a look-up. */
export function createIdleEndpoints({view, loadTracker}: IdleEndpointsOptions): IdleEndpoints {
	const allBusyUntil = new Map<string, number>();
	const isIdle = (endpoint: LiveEndpoint): boolean => loadTracker.load(endpoint).running === 0;

	return {
		isIdle,
		busyUnlessAll(service) {
			const now = performance.now();
			if (now < (allBusyUntil.get(service) ?? 0)) {
				return undefined;
			}

			const endpoints = view.endpointsOf(service);
			const busy = new Set(endpoints.filter(endpoint => !isIdle(endpoint)).map(({id}) => id));
			if (busy.size < endpoints.length) {
				return busy;
			}

			allBusyUntil.set(service, now + allBusyTtlMs);
			return undefined;
		},
	};
}
