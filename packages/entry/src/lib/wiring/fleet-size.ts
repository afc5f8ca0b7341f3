/** Tells how many daemons there are, by their reports and by their leases in the store. */
import {type EntryParts} from './parts.js';

/** Daemons that run by what they write to the store, but whose reports don't arrive. */
export function unheardDaemons({peers, retryPart}: EntryParts): string[] {
	const known = peers.known();
	const now = performance.now();
	const silenceMs = peers.silenceMs();
	/** The first reports of a large fleet take their time, counted here from the start of the process. */
	const isAwaitingReports = peers.peersBeyondRound() > 0 && now < silenceMs;
	return retryPart.others().filter(({name, renewedMsAgo}) => {
		const heardAt = known.get(name)?.heardAt;
		return heardAt === undefined ? !isAwaitingReports : now - heardAt > renewedMsAgo + silenceMs;
	}).map(({name}) => name);
}

/** Number of these; in a large fleet an estimate, since a daemon knows the leases of one row. */
export const countUnheard = (parts: EntryParts): number => unheardDaemons(parts).length * parts.retryPart.rowCount;

/** Number of daemons, including this one and those that are not heard. */
export const countDaemons = (parts: EntryParts): number => {
	const known = parts.peers.known();
	const forgotten = unheardDaemons(parts).filter(name => !known.has(name)).length;
	return known.size + (forgotten * parts.retryPart.rowCount) + 1;
};
