/** Wires the store's change feeds: the operator's table and the endpoint list. */
import {createEndpointSource, createOperatorSource, type OperatorRow} from '@hickorywalk/platform';
import {
	type Change, type ChangeFeed, createEndpointTracker, type FeedSharing, followChanges, type LiveEndpoint,
} from 'hickorywalk/fleet.js';
import {createFeedReaders} from 'hickorywalk/peers.js';
import {type EntryParts} from './parts.js';

/** Lets only the elected readers of a table poll the store; the other daemons rely on their relays. */
function sharingOf(table: string, {settings, timings, peers}: EntryParts): FeedSharing {
	const readers = createFeedReaders({
		name: settings.name, table, peers: peers.group, silenceMs: timings.feedFreshMs,
	});
	return {
		readerInMs: readers.dueInMs,
		isFirstChoice: readers.isFirstChoice,
		relayed: readers.relayed,
		freshMs: timings.feedFreshMs,
		relayDelayMs: timings.relayDelayMs,
		relay(relay) {
			peers.relay(table, relay);
		},
	};
}

/** Follows the fleet document, the named weights and the ordered releases. */
export function wireOperatorFeed(parts: EntryParts): ChangeFeed {
	const {store, view, timings, clock, metrics, log} = parts;
	const apply = ({item, version}: Change<OperatorRow>, unseenMs: number, answeredMs: number): void => {
		if (item === undefined) {
			return;
		}

		switch (item.kind) {
			case 'document': {
				view.acceptDocument(item.document);
				break;
			}

			case 'weights': {
				view.acceptWeights(item.model, item.version, unseenMs, answeredMs);
				parts.namingRecord.apply();
				break;
			}

			case 'release': {
				parts.releases.ordered(item.order, version);
				break;
			}
		}
	};

	const update = (rows: ReadonlyArray<Change<OperatorRow>>, unseenMs: number, answeredMs = 0): void => {
		for (const row of rows) {
			apply(row, unseenMs, answeredMs);
		}
	};

	return followChanges({
		name: 'operator',
		source: createOperatorSource(store, log, metrics.rowSkipped),
		handler: {update, replace: update},
		waitMs: () => timings.feedWaitMs,
		timeoutMs: timings.storeTimeoutMs,
		coalesceMs: 0,
		clock,
		sharing: sharingOf('operator', parts),
		log,
	});
}

/** Follows the endpoint list and drops local state of removed endpoints. */
export function wireEndpointFeed(parts: EntryParts): ChangeFeed {
	const {
		store, view, timings, clock, health, loadTracker, presence, versions, limits, paths, residentParts, metrics, log,
	} = parts;
	const tracker = createEndpointTracker({
		view, graceMs: timings.expiredGraceMs, graceWindowMs: timings.graceWindowMs, expiryMs: timings.rowExpiryMs,
		onMissed() {
			parts.softwareHistory.missedChanges();
			log.info('An endpoint may have come and gone unseen.');
		},
	});
	const isInDocument = (service: string): boolean => view.current()?.document.services.has(service) === true;

	view.onDocument(({document}) => {
		for (const service of document.services.keys()) {
			health.setEndpoints(service, view.endpointsOf(service).map(item => item.id));
		}
	});
	view.onEndpoint((id, endpoint, before) => {
		if (endpoint === undefined) {
			loadTracker.forget(id);
			parts.connectionShares.forget(id);
			presence.forget(id);
			limits.forget(id);
			paths.forget(id);
		}

		// A process that restarted under the same id has an empty cache, and may run other weights.
		if (before?.startedAt !== endpoint?.startedAt) {
			residentParts.forget(id);
			versions.forget(id);
		}

		// Most changes are heartbeats, which do not change the membership of services.
		if (before?.service === endpoint?.service) {
			return;
		}

		if (before !== undefined) {
			health.removeEndpoint(before.service, id);
		}

		if (endpoint !== undefined && isInDocument(endpoint.service)) {
			health.addEndpoint(endpoint.service, id);
		}
	});
	return followChanges<LiveEndpoint>({
		name: 'endpoints',
		source: createEndpointSource(store, log, metrics.rowSkipped),
		handler: tracker,
		waitMs: () => timings.feedWaitMs,
		timeoutMs: timings.storeTimeoutMs,
		coalesceMs: timings.endpointsCoalesceMs,
		clock,
		sharing: sharingOf('endpoints', parts),
		log,
	});
}
