/** Wires the record of where streams began. */
import {createEndpointSource} from '@hickorywalk/platform';
import {type Route} from 'hickorywalk/fleet.js';
import {
	createOriginFinder, createSoftwareHistory, createSoftwareRecord, createStreamOrigins, createStreamRows, type OriginFinder, recordKeepersOf,
	type SoftwareHistory, type StreamOrigins,
} from 'hickorywalk/streams.js';
import {type PeriodicTask} from 'hickorywalk/time.js';
import {type EntryParts} from './parts.js';

/** A stream may be taken up again at most this many times the longest timeout of a stream's route after it began: a caller has two tries. */
const maxTries = 2;

/** What the routes in force say of streams. */
export type StreamRoutes = {
	/** Longest time in milliseconds for which a caller may take up a stream again. */
	streamMs: number;
	/** Services that share the streams of a route with others. */
	splitServices: ReadonlySet<string>;
	/** Services whose streams may be taken up again. */
	resumableServices: readonly string[];
};

function describeStreams(routes: readonly Route[]): StreamRoutes {
	const streams = routes.filter(({kind}) => kind === 'stream');
	return {
		streamMs: Math.max(0, ...streams.map(({timeoutMs}) => timeoutMs)) * maxTries,
		splitServices: new Set(streams.filter(({targets}) => targets.length > 1).flatMap(({targets}) => targets.map(({service}) => service))),
		resumableServices: [...new Set(streams.filter(({isResumable}) => isResumable).flatMap(({targets}) => targets.map(({service}) => service)))],
	};
}

/** Reads the routes once for each document, since each stream needs what they say. */
export function wireStreamRoutes({view}: EntryParts): () => StreamRoutes {
	let current = describeStreams(view.current()?.document.routes ?? []);
	view.onDocument(({document}) => {
		current = describeStreams(document.routes);
	});
	return () => current;
}

/** Whether the endpoint list lacks no change that this daemon has heard of. */
function isListCurrent({endpointFeed, peers, timings}: EntryParts): boolean {
	return endpointFeed.ageMs() <= timings.feedFreshMs
		&& peers.live().every(({report}) => (report.heard.endpoints ?? 0) <= endpointFeed.newestChange());
}

/** Creates the history of software versions. */
export const wireSoftwareHistory = (parts: EntryParts): SoftwareHistory => createSoftwareHistory({
	view: parts.view,
	startsEmpty: parts.settings.isFirstStart,
	streamMs: () => parts.streamRoutes().streamMs,
	isCurrent: () => isListCurrent(parts),
});

/** Creates the record of streams' origins. */
export function wireStreamOrigins(parts: EntryParts): StreamOrigins {
	const origins = createStreamOrigins({
		peers: () => [...parts.peers.known().keys()],
		mustReport: service => parts.streamRoutes().splitServices.has(service) || parts.softwareHistory.isMixed(service),
		onUnreported(peers) {
			parts.peers.sendSoonTo(peers);
		},
		streamMs: () => parts.streamRoutes().streamMs,
	});
	parts.softwareHistory.onVersionAdded(origins.reportAll);
	return origins;
}

/** Names of the daemons that report, and of this one. */
const liveNames = ({settings, peers}: EntryParts): string[] => [settings.name, ...peers.live().map(({report}) => report.daemon)];

/** Creates the record of versions that have served alone. */
export const wireSoftwareRecord = (parts: EntryParts): PeriodicTask => createSoftwareRecord({
	table: parts.ownTable,
	view: parts.view,
	source: createEndpointSource(parts.store, parts.log),
	history: parts.softwareHistory,
	services: () => parts.streamRoutes().resumableServices,
	listedAt: parts.endpointFeed.position,
	name: parts.settings.name,
	names: () => liveNames(parts),
	fleetSize: parts.peers.fleetSize,
	streamMs: () => parts.streamRoutes().streamMs,
	timeoutMs: parts.timings.storeTimeoutMs * 2,
	log: parts.log,
});

/** Creates the rows that tell where streams began. */
export const wireStreamRows = (parts: EntryParts): PeriodicTask => createStreamRows({
	table: parts.ownTable,
	name: parts.settings.name,
	origins: parts.origins,
	history: parts.softwareHistory,
	isKeeper: () => recordKeepersOf(liveNames(parts)).includes(parts.settings.name),
	fleetSize: parts.peers.fleetSize,
	streamMs: () => parts.streamRoutes().streamMs,
	storeMs: parts.store.clockMs,
	log: parts.log,
});

/** Creates the finder of origins. */
export const wireOriginFinder = (parts: EntryParts): OriginFinder => createOriginFinder({
	origins: parts.origins,
	history: parts.softwareHistory,
	recordKeepers: () => recordKeepersOf(liveNames(parts)).filter(name => name !== parts.settings.name),
	confirmList: async () => parts.endpointFeed.refresh(),
	ask: parts.relay.askOrigin,
});
