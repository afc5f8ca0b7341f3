/** Software versions of each service at which streams that are still under way may have begun. */
import {type FleetView} from '../fleet/fleet-view.js';

/** Options of {@link createSoftwareHistory}. */
export type SoftwareHistoryOptions = {
	view: FleetView;
	/** No streams began before this process started. */
	startsEmpty: boolean;
	/** Longest time in milliseconds for which a caller may take up a stream again. */
	streamMs: () => number;
	/** Whether the endpoint list is up to date. */
	isCurrent: () => boolean;
};

/** The versions, as this daemon knows them. */
export type SoftwareHistory = {
	/** The only version at which a stream under way may have begun; `undefined` if there are several, or this daemon can't tell. */
	soleSoftware: (service: string) => string | undefined;
	/** Whether streams under way may have begun at several versions, by the list as this daemon last saw it. */
	isMixed: (service: string) => boolean;
	/** Whether all streams under way began while this daemon knew the endpoint list. */
	isComplete: () => boolean;
	/** Records that streams from before this process knew the endpoint list began at this version only. */
	restore: (service: string, software: string) => void;
	/** Endpoints of any version may have come and gone unseen. */
	missedChanges: () => void;
	/** Called when a service gets endpoints of one more version, or may have had some. */
	onVersionAdded: (listener: (service: string) => void) => void;
};

type Listed = {ids: Set<string>; lastListedAt: number};

/** Creates the history; it begins with the first endpoint that is listed. */
export function createSoftwareHistory({view, startsEmpty, streamMs, isCurrent}: SoftwareHistoryOptions): SoftwareHistory {
	/** By service, then by version. */
	const versions = new Map<string, Map<string, Listed>>();
	const listeners: Array<(service: string) => void> = [];
	/** Services whose versions are known from before `knownSince`. */
	const restored = new Set<string>();
	let knownSince = startsEmpty ? Number.NEGATIVE_INFINITY : Number.POSITIVE_INFINITY;

	const listedOf = (service: string, software: string): Listed => {
		const ofService = versions.get(service) ?? new Map<string, Listed>();
		versions.set(service, ofService);
		const listed = ofService.get(software) ?? {ids: new Set(), lastListedAt: performance.now()};
		ofService.set(software, listed);
		return listed;
	};

	const removeExpired = (service: string): ReadonlyMap<string, Listed> => {
		const ofService = versions.get(service) ?? new Map<string, Listed>();
		const expiredAt = performance.now() - streamMs();
		for (const [software, {ids, lastListedAt}] of ofService) {
			if (ids.size === 0 && lastListedAt < expiredAt) {
				ofService.delete(software);
			}
		}

		return ofService;
	};

	view.onEndpoint((id, endpoint, before) => {
		knownSince = Math.min(knownSince, performance.now());
		if (endpoint?.service === before?.service && endpoint?.software === before?.software) {
			return;
		}

		if (before !== undefined) {
			const listed = listedOf(before.service, before.software);
			listed.ids.delete(id);
			listed.lastListedAt = performance.now();
		}

		if (endpoint === undefined) {
			return;
		}

		const {service, software} = endpoint;
		const isAdded = !removeExpired(service).has(software);
		listedOf(service, software).ids.add(id);
		if (isAdded) {
			for (const listener of listeners) {
				listener(service);
			}
		}
	});

	const isComplete = (): boolean => performance.now() - knownSince >= streamMs();

	const soleListed = (service: string): string | undefined => {
		const ofService = removeExpired(service);
		const [software] = ofService.keys();
		return ofService.size === 1 ? software : undefined;
	};

	return {
		soleSoftware: service => isCurrent() && (isComplete() || restored.has(service)) ? soleListed(service) : undefined,
		// Restored knowledge could be lost with this daemon, so its streams are reported nevertheless.
		isMixed: service => !isComplete() || soleListed(service) === undefined,
		isComplete,
		restore(service, software) {
			listedOf(service, software).lastListedAt = performance.now();
			restored.add(service);
		},
		missedChanges() {
			knownSince = performance.now();
			restored.clear();
			// Other daemons may know of several versions.
			for (const service of versions.keys()) {
				for (const listener of listeners) {
					listener(service);
				}
			}
		},
		onVersionAdded(listener) {
			listeners.push(listener);
		},
	};
}
