/** Wires the quarantine of requests that crash endpoints. */
import {
	type CrashWatch, createCrashWatch, createQuarantine, createRefusalStore, type Quarantine, type RefusalRows,
} from 'hickorywalk/quarantine.js';
import {type EntryParts} from './parts.js';

/** Creates the quarantine. */
export const wireQuarantine = (parts: EntryParts): Quarantine => createQuarantine({
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

/** Creates the crash watch. */
export const wireCrashWatch = ({
	quarantine, presence, view, checkConnection,
}: EntryParts): CrashWatch => createCrashWatch({
	hasCrashed: async ({address}) => await checkConnection(address) === 'refused',
	stateOf(endpoint) {
		const listed = view.endpoint(endpoint.id);
		if (listed?.startedAt !== endpoint.startedAt || presence.hasEnded(endpoint)) {
			return 'ended';
		}

		return listed.isLeaving ? 'leaving' : 'listed';
	},
	onCrash: quarantine.recordCrash,
});
