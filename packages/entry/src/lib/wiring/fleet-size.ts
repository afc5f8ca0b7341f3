/** Tells how many daemons there are, by their reports and by their leases in the store. */
import {type EntryParts} from './parts.js';

/** The fleet as this daemon knows it. */
export type FleetSize = {
	/** Daemons that run by what they write to the store, but whose reports don't arrive. */
	unheard: () => readonly string[];
	/** Number of these; in a large fleet an estimate, since a daemon knows the leases of one row. */
	unheardCount: () => number;
	/** Number of daemons, including this one and those that are not heard. */
	daemons: () => number;
};

/** Creates the view of the fleet. Each request asks for it, so the leases are compared with the reports once in an interval between reports. */
export function wireFleetSize({peers, retryPart, timings}: EntryParts): FleetSize {
	let unheardNames: string[] = [];
	let comparedAt = Number.NEGATIVE_INFINITY;

	const compare = (now: number): string[] => {
		const known = peers.known();
		const silenceMs = peers.silenceMs();
		/** The first reports of a large fleet take their time, counted here from the start of the process. */
		const isAwaitingReports = peers.peersBeyondRound() > 0 && now < silenceMs;
		return retryPart.others().filter(({name, renewedMsAgo}) => {
			const heardAt = known.get(name)?.heardAt;
			return heardAt === undefined ? !isAwaitingReports : now - heardAt > renewedMsAgo + silenceMs;
		}).map(({name}) => name);
	};

	const unheard = (): readonly string[] => {
		const now = performance.now();
		if (now - comparedAt >= timings.reportEveryMs) {
			comparedAt = now;
			unheardNames = compare(now);
		}

		return unheardNames;
	};

	return {
		unheard,
		unheardCount: () => unheard().length * retryPart.rowCount,
		daemons() {
			const known = peers.known();
			const forgotten = unheard().filter(name => !known.has(name)).length;
			return known.size + (forgotten * retryPart.rowCount) + 1;
		},
	};
}
