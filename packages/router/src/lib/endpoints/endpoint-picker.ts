/** Picks the healthy endpoint of a plain service with the fewest calls in progress. */
import {type Endpoint} from '../configuration/document.js';
import {createHealthTracker, type HealthOptions} from '../routing/health.js';

/** Options of {@link createEndpointPicker}. */
export type EndpointPickerOptions = {
	/** Endpoints of a service that may get new calls now. */
	endpointsOf: (service: string) => readonly Endpoint[];
	health?: HealthOptions;
	/** Random number from 0 up to 1; breaks ties, so that routers do not all pick the same endpoint. */
	random: () => number;
};

/** Picks endpoints and counts their calls in progress. */
export type EndpointPicker = {
	/** Returns `undefined` if every endpoint is excluded. */
	pick: (service: string, excluded: ReadonlySet<string>) => Endpoint | undefined;
	started: (endpoint: string) => void;
	ended: (endpoint: string) => void;
	failed: (endpoint: string) => void;
	succeeded: (endpoint: string) => void;
};

/** Creates a picker without calls in progress. */
export function createEndpointPicker(options: EndpointPickerOptions): EndpointPicker {
	const health = createHealthTracker(options.health);
	const tracked = new Map<string, readonly Endpoint[]>();
	const running = new Map<string, number>();

	const track = (service: string) => {
		const endpoints = options.endpointsOf(service);
		if (tracked.get(service) !== endpoints) {
			tracked.set(service, endpoints);
			health.setEndpoints(service, endpoints.map(endpoint => endpoint.name));
		}

		return endpoints;
	};

	const costOf = ({name}: Endpoint) => {
		const ejected = health.healthOf(name) === 'ejected' ? Number.MAX_SAFE_INTEGER : 0;
		return ejected + (running.get(name) ?? 0) + options.random();
	};

	const add = (endpoint: string, change: number) => {
		const count = (running.get(endpoint) ?? 0) + change;
		if (count <= 0) {
			running.delete(endpoint);
		} else {
			running.set(endpoint, count);
		}
	};

	return {
		pick(service, excluded) {
			let best: Endpoint | undefined;
			let lowestCost = Number.POSITIVE_INFINITY;
			for (const endpoint of track(service)) {
				const cost = excluded.has(endpoint.name) ? Number.POSITIVE_INFINITY : costOf(endpoint);
				if (cost < lowestCost) {
					best = endpoint;
					lowestCost = cost;
				}
			}

			return best;
		},
		started(endpoint) {
			add(endpoint, 1);
		},
		ended(endpoint) {
			add(endpoint, -1);
		},
		failed(endpoint) {
			health.failed(endpoint);
		},
		succeeded(endpoint) {
			health.succeeded(endpoint);
		},
	};
}
