/** Wires the record of where streams began. */
import {
	createOriginFinder, createSoftwareHistory, createStreamOrigins, type OriginFinder, type SoftwareHistory, type StreamOrigins,
} from 'hickorywalk/streams.js';
import {type EntryParts} from './parts.js';

/** A stream may be taken up again at most this many times the longest timeout of a stream's route after it began: a caller has two tries. */
const maxTries = 2;

/** Time in milliseconds without any report after which this daemon may be cut off from the others. */
const maxSilenceMs = 600;

/** Longest time in milliseconds for which a caller may take up a stream again. */
function streamMs({view}: EntryParts): number {
	let longestMs = 0;
	for (const {kind, timeoutMs} of view.current()?.document.routes ?? []) {
		longestMs = kind === 'stream' ? Math.max(longestMs, timeoutMs) : longestMs;
	}

	return longestMs * maxTries;
}

/** Whether a route divides its streams between this service and others. */
function isSplit({view}: EntryParts, service: string): boolean {
	const routes = view.current()?.document.routes ?? [];
	return routes.some(({kind, targets}) => kind === 'stream' && targets.length > 1 && targets.some(target => target.service === service));
}

/** Whether the endpoint list lacks no change that any daemon knows. A daemon that hears nobody may be cut off. */
function isListCurrent({endpointFeed, peers, timings}: EntryParts): boolean {
	const lastHeardAt = Math.max(...Array.from(peers.known().values(), ({heardAt}) => heardAt));
	const isAlone = peers.fleetSize() === 1;
	return endpointFeed.ageMs() <= timings.feedFreshMs
		&& (isAlone || performance.now() - lastHeardAt <= maxSilenceMs)
		&& peers.live().every(({report}) => (report.heard.endpoints ?? 0) <= endpointFeed.newestChange());
}

/** Creates the history of software versions. */
export const wireSoftwareHistory = (parts: EntryParts): SoftwareHistory => createSoftwareHistory({
	view: parts.view,
	startsEmpty: parts.settings.isFirstStart,
	streamMs: () => streamMs(parts),
	isCurrent: () => isListCurrent(parts),
});

/** Creates the record of streams' origins. */
export function wireStreamOrigins(parts: EntryParts): StreamOrigins {
	const origins = createStreamOrigins({
		peers: () => [...parts.peers.known().keys()],
		mustReport: service => isSplit(parts, service) || parts.softwareHistory.isMixed(service),
		onUnreported(peers) {
			parts.peers.sendSoonTo(peers);
		},
		streamMs: () => streamMs(parts),
	});
	parts.softwareHistory.onVersionAdded(origins.reportAll);
	return origins;
}

/** Creates the finder of origins. */
export const wireOriginFinder = ({origins, softwareHistory, relay}: EntryParts): OriginFinder => createOriginFinder({
	origins, history: softwareHistory, ask: relay.askOrigin,
});
