/**
 * Elects the daemons that read the store's feeds for a group of peers. Rendezvous hashing
 * ranks the group without coordination; a lower-ranked daemon steps in once too few of the
 * higher-ranked ones relay what they read.
 *
 * The number of calls to the store therefore doesn't grow with the number of daemons.
 */
import {orderedBy} from '../routing/rendezvous.js';

/** Options of {@link createFeedReaders}; durations in milliseconds. */
export type FeedReadersOptions = {
	name: string;
	/** Table that is read; readers are elected for each table. */
	table: string;
	/** Names of the peers in this daemon's group that are not silent. */
	peers: () => readonly string[];
	/** Time since its latest relay after which a reader counts as silent. */
	silenceMs: number;
};

/** The election, as seen by one daemon. */
export type FeedReaders = {
	/** Milliseconds until this daemon should read the feeds; 0 while it is a reader. */
	dueInMs: () => number;
	/** Whether this daemon is among the highest-ranked of its group, which read even if others do. */
	isFirstChoice: () => boolean;
	/** Records that a peer relayed a store answer. */
	relayed: (daemon: string) => void;
};

/** Daemons per reader, and maximum number of readers of a group. */
const daemonsPerReader = 16;
const maxReaders = 2;

/** Delay between two daemons that step in one after the other. */
const stepInDelayMs = 100;

/** Creates the election of one daemon; it holds no timers. */
export function createFeedReaders({name, table, peers, silenceMs}: FeedReadersOptions): FeedReaders {
	const relayedAt = new Map<string, number>();
	const startedAt = performance.now();

	/** Peers ranked above this daemon, and the number of daemons in the group that should read. */
	const rank = (): {higherRanked: string[]; readerCount: number} => {
		const group = orderedBy(`reader ${table}`, [...peers(), name]);
		return {
			higherRanked: group.slice(0, group.indexOf(name)),
			readerCount: Math.min(maxReaders, Math.ceil(group.length / daemonsPerReader)),
		};
	};

	/** Time at which too few of these peers will have relayed anything within `silenceMs`. */
	const shortageAt = (higherRanked: readonly string[], readerCount: number): number => {
		const times = higherRanked.map(peer => relayedAt.get(peer) ?? startedAt).toSorted((a, b) => b - a);
		return times[readerCount - 1] + silenceMs;
	};

	return {
		dueInMs() {
			const {higherRanked, readerCount} = rank();
			if (higherRanked.length < readerCount) {
				return 0;
			}

			const dueAt = shortageAt(higherRanked, readerCount) + ((higherRanked.length - readerCount + 1) * stepInDelayMs);
			return Math.max(0, dueAt - performance.now());
		},
		isFirstChoice() {
			const {higherRanked, readerCount} = rank();
			return higherRanked.length < readerCount;
		},
		relayed(daemon) {
			relayedAt.set(daemon, performance.now());
		},
	};
}
