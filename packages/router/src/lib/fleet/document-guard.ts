/**
 * Keeps a process that has just started from serving by a document that was replaced before. A
 * store that came back from an older copy holds one until the operator has written the newest
 * again; peers, which can't pass on the document and its secrets, know its version.
 */
import {type AcceptedDocument, type FleetView} from './fleet-view.js';

/** Options of {@link createDocumentGuard}. */
export type DocumentGuardOptions = {
	view: FleetView;
	/** Time in milliseconds after which the process serves by the document that it has. */
	maxWaitMs: number;
};

/** The guard of one process. */
export type DocumentGuard = {
	/** A peer serves by this version. */
	inForceElsewhere: (version: number) => void;
	/** The document to serve by; `undefined` while it is outdated or missing. */
	current: () => AcceptedDocument | undefined;
};

/** Creates a guard; call it at the start of the process. */
export function createDocumentGuard({view, maxWaitMs}: DocumentGuardOptions): DocumentGuard {
	const openAt = performance.now() + maxWaitMs;
	let newestElsewhere = 0;
	/** Later on, a daemon that is cut off from the store serves by what it has. */
	let hasCaughtUp = false;

	return {
		inForceElsewhere(version) {
			newestElsewhere = Math.max(newestElsewhere, version);
		},
		current() {
			const accepted = view.current();
			if (hasCaughtUp || accepted === undefined) {
				return accepted;
			}

			const isOutdated = accepted.document.version < newestElsewhere && performance.now() < openAt;
			hasCaughtUp = !isOutdated && newestElsewhere > 0;
			return isOutdated ? undefined : accepted;
		},
	};
}
