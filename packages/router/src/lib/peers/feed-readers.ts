/**
 * Elects the daemons that read the store's feeds for a group of peers. Rendezvous hashing
 * ranks the group without coordination; a daemon further back steps in once too few of
 * those ranked before it relay what they read.
 *
 * Load: the calls to the store no longer grow with the number of daemons.
 */
import {orderedBy} from '../routing/rendezvous.js';

/** Options of {@link createFeedReaders}; durations in milliseconds. */
export type FeedReadersOptions = {
	name: string;
	/** Table that is read; each table has readers of its own. */
	table: string;
	/** Names of the peers in this daemon's group that are not away. */
	peers: () => readonly string[];
	/** Time after its latest relay at which a reader counts as silent. */
	silenceMs: number;
};

/** The election, as seen by one daemon. */
export type FeedReaders = {
	/** Milliseconds until this daemon should read the feeds; 0 while it is a reader. */
	dueInMs: () => number;
	/** Whether this daemon is among the first of its group, which read even if others do. */
	isFirstChoice: () => boolean;
	/** A peer relayed an answer of the store. */
	relayed: (daemon: string) => void;
};

/** Daemons for each reader, up to the maximum number of readers of a group. */
const daemonsPerReader = 16;
const maxReaders = 2;

/** Interval between two daemons that step in one after the other. */
const stepMs = 100;

/** Creates the election of one daemon; it holds no timers. */
export function createFeedReaders({name, table, peers, silenceMs}: FeedReadersOptions): FeedReaders {
	const relayedAt = new Map<string, number>();
	const startedAt = performance.now();

	/** Peers ranked before this daemon, and how many of the group should read. */
	const standing = (): {ahead: string[]; readers: number} => {
		const group = orderedBy(`reader ${table}`, [...peers(), name]);
		return {
			ahead: group.slice(0, group.indexOf(name)),
			readers: Math.min(maxReaders, Math.ceil(group.length / daemonsPerReader)),
		};
	};

	/** Time at which too few of these peers will have relayed anything within `silenceMs`. */
	const shortageAt = (ahead: readonly string[], readers: number): number => {
		const times = ahead.map(peer => relayedAt.get(peer) ?? startedAt).toSorted((a, b) => b - a);
		return times[readers - 1] + silenceMs;
	};

	return {
		dueInMs() {
			const {ahead, readers} = standing();
			if (ahead.length < readers) {
				return 0;
			}

			const dueAt = shortageAt(ahead, readers) + ((ahead.length - readers + 1) * stepMs);
			return Math.max(0, dueAt - performance.now());
		},
		isFirstChoice() {
			const {ahead, readers} = standing();
			return ahead.length < readers;
		},
		relayed(daemon) {
			relayedAt.set(daemon, performance.now());
		},
	};
}
