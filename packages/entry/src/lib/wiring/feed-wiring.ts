/** Wires the store's change feeds: the operator's table and the endpoint list. */
import {createEndpointSource, createOperatorSource, type OperatorRow} from '@hickorywalk/platform';
import {
	type ChangeFeed, createEndpointTracker, followChanges, type LiveEndpoint,
} from 'hickorywalk/fleet.js';
import {type PeerExchange} from 'hickorywalk/peers.js';
import {type Timings} from '../timings.js';
import {weightsDuty} from './duty-wiring.js';
import {type EntryParts} from './parts.js';

/**
 * Peers share which changes they have seen, so one working connection is enough. Each daemon
 * may then use longer polls, which saves calls.
 */
function feedWaitMs({feedWaitMs: alone, mostFeedWaits}: Timings, peers: PeerExchange): number {
	return alone * Math.min(mostFeedWaits, 1 + peers.live().length);
}

/** Follows the fleet document and the named weights. */
export function wireOperatorFeed(parts: EntryParts): ChangeFeed {
	const {store, view, timings, peers, log} = parts;
	const update = (rows: ReadonlyArray<{item: OperatorRow | undefined}>, unseenMs: number): void => {
		for (const {item} of rows) {
			if (item?.kind === 'document') {
				view.acceptDocument(item.document);
			} else if (item?.kind === 'weights') {
				view.acceptWeights(item.model, item.version, unseenMs);
				parts.namingRecord.apply();
			}
		}
	};

	// The lease holder vouches for the namings up to its latest answer, so it polls more often.
	const waitMs = (): number => parts.leases.held(weightsDuty) === undefined ? feedWaitMs(timings, peers) : timings.feedWaitMs;
	return followChanges({
		name: 'operator', source: createOperatorSource(store, log), handler: {update, replace: update}, waitMs, answerMs: timings.storeAnswerMs, restMs: 0, log,
	});
}

/** Follows the endpoint list and drops local state of removed endpoints. */
export function wireEndpointFeed({store, view, timings, peers, health, book, presence, versions, resident, log}: EntryParts): ChangeFeed {
	const tracker = createEndpointTracker({view, graceMs: timings.lapsedGraceMs, outageEchoMs: timings.outageEchoMs});
	const updateHealth = (service: string | undefined): void => {
		if (service !== undefined && view.current()?.document.services.has(service)) {
			health.setEndpoints(service, view.endpointsOf(service).map(item => item.id));
		}
	};

	view.onDocument(({document}) => {
		for (const service of document.services.keys()) {
			updateHealth(service);
		}
	});
	view.onEndpoint((id, endpoint, before) => {
		if (endpoint === undefined) {
			book.forget(id);
			presence.forget(id);
			versions.forget(id);
		}

		// A restarted process under the same id has an empty cache.
		if (before?.startedAt !== endpoint?.startedAt) {
			resident.forget(id);
		}

		// Most changes are heartbeats, which leave the membership of services as it is.
		if (before?.service !== endpoint?.service) {
			updateHealth(before?.service);
			updateHealth(endpoint?.service);
		}
	});
	return followChanges<LiveEndpoint>({
		name: 'endpoints', source: createEndpointSource(store, log), handler: tracker, waitMs: () => feedWaitMs(timings, peers), answerMs: timings.storeAnswerMs, restMs: timings.endpointsRestMs, log,
	});
}
