/** Wires the quarantine of requests that crash endpoints. */
import {
	type CrashWatch, createCrashWatch, createQuarantine, createRefusalStore, isPartKey, type Quarantine, type RefusalRows,
} from 'hickorywalk/quarantine.js';
import {provesEnd} from 'hickorywalk/paths.js';
import {type EntryParts} from './parts.js';

/** Creates the quarantine. */
export function wireQuarantine(parts: EntryParts): Quarantine {
	const quarantine = createQuarantine({
		name: parts.settings.name,
		store: {
			save(refusal) {
				parts.refusalRows.save(refusal);
			},
			claim: async refusal => parts.refusalRows.claim(refusal),
			remove(digest) {
				parts.refusalRows.remove(digest);
			},
		},
		onUpdate() {
			parts.peers.sendSoonTo('all');
		},
		log: parts.log,
	});
	quarantine.onRefused(key => {
		parts.metrics.crashRefused(isPartKey(key) ? 'part' : 'request');
	});
	return quarantine;
}

/** Creates the store of refusals. */
export const wireRefusalRows = (parts: EntryParts): RefusalRows => createRefusalStore({
	table: parts.ownTable,
	storeMs: parts.store.clockMs,
	onRefusals(refusals) {
		parts.quarantine.restore(refusals);
	},
	isIsolated: () => parts.peers.fleetSize() > 1 && parts.peers.live().length === 0,
	log: parts.log,
});

/**
 * Creates the crash watch. A refused connection may also be the fault of the network between this
 * daemon and the endpoint, so peers are asked as well.
 */
export const wireCrashWatch = ({
	quarantine, presence, view, paths, relay, opinionOn, metrics,
}: EntryParts): CrashWatch => createCrashWatch({
	async hasCrashed(endpoint) {
		const own = await opinionOn(endpoint);
		if (own === 'reached') {
			return false;
		}

		paths.connectFailed(endpoint);
		return provesEnd([own, ...await relay.opinionsOn(endpoint)]);
	},
	stateOf(endpoint) {
		const listed = view.endpoint(endpoint.id);
		if (listed?.startedAt !== endpoint.startedAt || presence.hasEnded(endpoint)) {
			return 'ended';
		}

		return listed.isLeaving ? 'leaving' : 'listed';
	},
	onCrash(crash) {
		metrics.endpointCrashed();
		quarantine.recordCrash(crash);
	},
});
