/**
 * Temporarily ejects endpoints whose requests fail.
 *
 * Ejection needs evidence, ends by itself, and is limited to a share of a
 * service: when everything fails, the cause is not a single endpoint, and
 * ejecting endpoints would overload the rest until none is left.
 */
import {returnRoom} from './return-room.js';

/** When endpoints are ejected and how they return. */
export type HealthOptions = {
	/** Consecutive failures that eject an endpoint. Default 3. */
	consecutiveFailures?: number;
	/** Share of failed requests in the window that ejects an endpoint. Default 0.5. */
	failedShare?: number;
	/** Minimum number of requests in the window for the share to count. Default 10. */
	fewestRequests?: number;
	/** Length of the window in milliseconds. Default 10,000. */
	windowMs?: number;
	/** First ejection in milliseconds; each further one is twice as long. Default 2,000. */
	ejectionMs?: number;
	/** Longest ejection in milliseconds. Default 60,000. */
	longestEjectionMs?: number;
	/** Maximum share of a service that is ejected at once. Default 0.34; in a service of several endpoints one may always be ejected. */
	maxEjectedShare?: number;
	/** Time in milliseconds over which a returning endpoint gets back to a full share. Default 10,000. */
	returnMs?: number;
};

/** Whether an endpoint may be used: fully, with few requests at once, or not at all. */
export type EndpointHealth = 'healthy' | 'returning' | 'ejected';

/** Tracks the health of endpoints, on the monotonic clock. */
export type HealthTracker = {
	/** Sets the endpoints of a service; state of endpoints that are not listed is dropped. */
	setEndpoints: (service: string, endpoints: readonly string[]) => void;
	/** Adds one endpoint to a service; the time for it doesn't grow with the service. */
	addEndpoint: (service: string, endpoint: string) => void;
	/** Removes an endpoint, if it belongs to the service. */
	removeEndpoint: (service: string, endpoint: string) => void;
	/** Records an answered request. */
	succeeded: (endpoint: string) => void;
	/** Records a failure that the endpoint caused. */
	failed: (endpoint: string) => void;
	/** Current health of an endpoint. */
	healthOf: (endpoint: string) => EndpointHealth;
	/** Maximum number of concurrent requests there; infinite for a healthy endpoint. */
	roomOf: (endpoint: string) => number;
	/** Endpoints of a service that are currently ejected. */
	ejectedOf: (service: string) => string[];
};

type Entry = {
	service: string;
	failuresInRow: number;
	windowFrom: number;
	requests: number;
	failures: number;
	ejections: number;
	ejectedUntil: number;
	returnedAt: number;
};

const never = Number.NEGATIVE_INFINITY;

const newEntry = (service: string): Entry => ({
	service, failuresInRow: 0, windowFrom: never, requests: 0, failures: 0, ejections: 0, ejectedUntil: never, returnedAt: never,
});

const maxDoublings = 10;

/**
 * Creates a health tracker.
 *
 * @example
 * const health = createHealthTracker({maxEjectedShare: 0.3});
 * health.setEndpoints('wordsmith', ['ws-1', 'ws-2']);
 * health.failed('ws-1');
 */
export const createHealthTracker = (options: HealthOptions = {}): HealthTracker => {
	const {
		consecutiveFailures = 3, failedShare = 0.5, fewestRequests = 10, windowMs = 10_000, ejectionMs = 2000,
		longestEjectionMs = 60_000, maxEjectedShare = 0.34, returnMs = 10_000,
	} = options;
	const entries = new Map<string, Entry>();
	const services = new Map<string, Set<string>>();

	const ejectedOf = (service: string, now: number): string[] =>
		[...services.get(service) ?? []].filter(name => entries.get(name)!.ejectedUntil > now);

	const mayEject = (service: string, now: number): boolean => {
		const total = services.get(service)?.size ?? 0;
		const most = total > 1 ? Math.max(1, Math.floor(total * maxEjectedShare)) : 0;
		return ejectedOf(service, now).length < most;
	};

	const isReturning = (entry: Entry, now: number): boolean =>
		entry.ejectedUntil <= now && now < entry.returnedAt + returnMs;

	const eject = (entry: Entry, now: number): void => {
		const duration = Math.min(longestEjectionMs, ejectionMs * (2 ** Math.min(maxDoublings, entry.ejections)));
		entry.ejections++;
		entry.ejectedUntil = now + duration;
		entry.returnedAt = entry.ejectedUntil;
		entry.failuresInRow = 0;
		entry.requests = 0;
		entry.failures = 0;
	};

	const count = (entry: Entry, now: number): void => {
		if (now - entry.windowFrom > windowMs) {
			entry.windowFrom = now;
			entry.requests = 0;
			entry.failures = 0;
		}

		entry.requests++;
	};

	const shouldEject = (entry: Entry, now: number): boolean =>
		entry.failuresInRow >= consecutiveFailures
		|| isReturning(entry, now)
		|| (entry.requests >= fewestRequests && entry.failures >= entry.requests * failedShare);

	const healthOf = (entry: Entry | undefined, now: number): EndpointHealth => {
		if (entry === undefined) {
			return 'healthy';
		}

		if (entry.ejectedUntil > now) {
			return 'ejected';
		}

		return isReturning(entry, now) ? 'returning' : 'healthy';
	};

	return {
		setEndpoints(service, endpoints) {
			const kept = new Set(endpoints);
			for (const name of services.get(service) ?? []) {
				if (!kept.has(name)) {
					entries.delete(name);
				}
			}

			services.set(service, kept);
			for (const name of endpoints) {
				if (!entries.has(name)) {
					entries.set(name, newEntry(service));
				}
			}
		},
		addEndpoint(service, endpoint) {
			const names = services.get(service) ?? new Set();
			services.set(service, names.add(endpoint));
			if (!entries.has(endpoint)) {
				entries.set(endpoint, newEntry(service));
			}
		},
		removeEndpoint(service, endpoint) {
			if (services.get(service)?.delete(endpoint) === true) {
				entries.delete(endpoint);
			}
		},
		succeeded(endpoint) {
			const entry = entries.get(endpoint);
			if (entry === undefined) {
				return;
			}

			const now = performance.now();
			count(entry, now);
			entry.failuresInRow = 0;
			if (healthOf(entry, now) === 'healthy' && now > entry.returnedAt + (2 * returnMs)) {
				entry.ejections = 0;
			}
		},
		failed(endpoint) {
			const entry = entries.get(endpoint);
			if (entry === undefined) {
				return;
			}

			const now = performance.now();
			count(entry, now);
			entry.failures++;
			entry.failuresInRow++;
			if (entry.ejectedUntil <= now && shouldEject(entry, now) && mayEject(entry.service, now)) {
				eject(entry, now);
			}
		},
		healthOf: endpoint => healthOf(entries.get(endpoint), performance.now()),
		roomOf(endpoint) {
			const entry = entries.get(endpoint);
			const now = performance.now();
			if (entry === undefined || entry.returnedAt === never) {
				return Number.POSITIVE_INFINITY;
			}

			if (entry.ejectedUntil > now) {
				return 0;
			}

			return returnRoom(now - entry.returnedAt, returnMs);
		},
		ejectedOf: service => ejectedOf(service, performance.now()),
	};
};
