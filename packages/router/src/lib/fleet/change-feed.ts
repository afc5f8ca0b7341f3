/**
 * Follows a table of the store: one listing, then changes, from the store or from a peer that
 * reads the table and relays the store's responses.
 */
import {type Log} from '../observability/log.js';
import {type FleetClock, processClock} from '../time/fleet-clock.js';
import {pause} from '../time/pause.js';
import {
	type Change, type ChangeHandler, type Changes, type ChangeSource, HistoryGoneError, OutdatedListingError, StoreRestoredError,
} from './change-source.js';
import {createRelayLog, type FeedRelay} from './feed-relay.js';

/** How daemons share the polling of a table; durations in milliseconds. */
export type FeedSharing = {
	/** Time until this daemon should read the table for its peers; 0 while it does. */
	readerInMs: () => number;
	/** Whether this daemon is among the first to read the table; the others back off for longer after failed calls. */
	isFirstChoice: () => boolean;
	/** Called when a peer relayed a response of the store. */
	relayed: (daemon: string) => void;
	/** Time after a response or a relay for which the table counts as current without a poll. */
	freshMs: number;
	/** Time that a relay may take longer than a hint of the same change. */
	relayDelayMs: number;
	/** Relays a response of the store to peers. */
	relay: (relay: FeedRelay) => void;
};

/** Options of {@link followChanges}; durations in milliseconds. */
export type ChangeFeedOptions<T> = {
	/** Name of the table, for logs. */
	name: string;
	source: ChangeSource<T>;
	handler: ChangeHandler<T>;
	/** Long-poll wait; evaluated for each call. */
	waitMs: () => number;
	/**
	 * Timeout on top of `waitMs`, since a dead connection shows no other sign. The sum bounds
	 * how late a change is seen.
	 */
	timeoutMs: number;
	/**
	 * Pause after a response with changes and before a hint is followed, to coalesce bursts of
	 * updates into one call.
	 */
	coalesceMs: number;
	/** Measures the ages of responses and changes. Default: the process's own clock. */
	clock?: FleetClock;
	/** Without it, this daemon reads for itself alone. */
	sharing?: FeedSharing;
	log: Log;
};

/** A running follower. */
export type ChangeFeed = {
	/** Milliseconds since the last successful call; infinite before the first. */
	ageMs: () => number;
	/** Newest change of this table seen so far; 0 before the first listing. */
	newestChange: () => number;
	/** Version of the store as of which the table is known; 0 before the first listing. */
	position: () => number;
	/**
	 * A peer has seen this change. Unless it arrives within `coalesceMs`, the feed polls the store
	 * without waiting.
	 */
	hint: (newestChange: number) => void;
	/**
	 * Reads the changes without waiting; resolves to whether the store responded to a call that was made after this one, so
	 * that the table is known up to now. Calls in the meantime share the next read.
	 */
	refresh: () => Promise<boolean>;
	/** A peer relays a response of the store. */
	relayed: (daemon: string, relay: FeedRelay) => void;
	close: () => void;
};

/** Exponential backoff after failed calls. */
const minBackoffMs = 50;
const maxBackoffMs = 400;

/** Longest gap between two calls, beyond `coalesceMs`, for which the feed counts as uninterrupted. */
const maxGapMs = 100;

const unshared: FeedSharing = {
	readerInMs: () => 0,
	isFirstChoice: () => true,
	relayed() {
		// Without sharing, no peer polls for this daemon.
	},
	freshMs: 0,
	relayDelayMs: 0,
	relay() {
		// Without sharing, no peer relies on this daemon.
	},
};

/** Follows a table until closed. */
export function followChanges<T>(options: ChangeFeedOptions<T>): ChangeFeed {
	const {source, handler, log, timeoutMs: answerMs, clock = processClock} = options;
	const sharing = options.sharing ?? unshared;
	const relayLog = createRelayLog();
	let version: number | undefined;
	let newestChange = 0;
	/** Time on `clock` of the latest response. */
	let respondedAt = Number.NEGATIVE_INFINITY;
	let failures = 0;
	/** Polls were skipped since the latest call, because relays kept the table current. */
	let hasSkippedPolls = false;
	/** The latest response was relayed to peers. */
	let isReader = false;
	/** A relay that arrived before its predecessor. */
	let earlyRelay: FeedRelay | undefined;
	/** A relay is overdue. */
	let areRelaysMissing = false;
	const closing = new AbortController();
	let isHinted = false;
	let ignoreHintsUntil = Number.NEGATIVE_INFINITY;
	let hasChanges = false;
	let refreshing: Promise<boolean> | undefined;
	let nextRefresh: Promise<boolean> | undefined;

	const ageMs = (): number => clock.now() - respondedAt;

	const recordTime = (storeMs: number | undefined): void => {
		respondedAt = Math.max(respondedAt, clock.now() - clock.sinceMs(storeMs));
	};

	const recordResponse = ({storeMs, isRepeated = false}: Changes<T>): void => {
		if (failures > 0 || isRepeated) {
			const outageMs = ageMs();
			log.info('Store responds again.', {path: options.name, ms: Math.round(outageMs), count: failures});
			handler.recovered?.(outageMs, 0);
			relayLog.recovered(outageMs);
			failures = 0;
		}

		recordTime(storeMs);
	};

	const trackNewest = (rows: ReadonlyArray<Change<T>>): void => {
		for (const row of rows) {
			newestChange = Math.max(newestChange, row.version);
		}
	};

	const relayChanges = (): void => {
		const isElected = sharing.readerInMs() === 0;
		if (isElected !== isReader) {
			isReader = isElected;
			log.info(isReader ? 'Daemon now polls a table for its peers.' : 'Daemon no longer polls a table for its peers.', {path: options.name});
		}

		if (isReader) {
			sharing.relay(relayLog.take());
		}
	};

	const list = async (): Promise<void> => {
		const all = await source.list(answerMs * 2);
		// An outdated listing must not revert newer state.
		if (version !== undefined && all.version < version) {
			throw new OutdatedListingError(`The store listed the table as of version ${all.version}, after version ${version}.`);
		}

		const unseenMs = ageMs();
		recordResponse(all);
		version = all.version;
		trackNewest(all.changes);
		relayLog.listed(all);
		handler.replace(all.changes, unseenMs);
		relayChanges();
	};

	/** Applies changes up to `update.version`; returns false if they are outdated. */
	const accept = (update: Changes<T>, unseenMs: number): boolean => {
		if (version === undefined || update.version < version) {
			return false;
		}

		relayLog.changed(update, unseenMs === 0);
		version = update.version;
		if (update.changes.length > 0) {
			trackNewest(update.changes);
			try {
				handler.update(update.changes, unseenMs, clock.sinceMs(update.storeMs));
			} catch (error) {
				// The rows may be missing in the handler's state, so that the table is listed anew.
				version = undefined;
				throw error;
			}
		}

		return true;
	};

	/** Applies a response; `pollMs` is the time for which its poll waited. */
	const apply = (update: Changes<T>, pollMs: number): void => {
		const isPrompt = update.isRepeated !== true && ageMs() - pollMs <= options.coalesceMs + maxGapMs;
		const unseenMs = isPrompt && failures === 0 ? 0 : ageMs();
		recordResponse(update);
		if (accept(update, unseenMs)) {
			hasChanges ||= update.changes.length > 0;
			relayChanges();
		}
	};

	const readNow = async (): Promise<boolean> => {
		if (version === undefined) {
			return false;
		}

		const sentAt = performance.now();
		try {
			apply(await source.changes(version, 0, answerMs), performance.now() - sentAt);
			return true;
		} catch (error) {
			// The running poll lists the table again if its history is lost.
			log.debug('Store did not respond to an additional poll.', {path: options.name, err: error});
			return false;
		}
	};

	const startRefresh = async (): Promise<boolean> => {
		try {
			return await readNow();
		} finally {
			refreshing = undefined;
		}
	};

	const refreshAfter = async (running: Promise<boolean>): Promise<boolean> => {
		await running;
		nextRefresh = undefined;
		refreshing = startRefresh();
		return refreshing;
	};

	/** Asks for changes, or for the whole table if the store no longer has them. */
	const update = async (waitMs: number): Promise<void> => {
		const sentAt = performance.now();
		let changes: Changes<T>;
		try {
			changes = await source.changes(version!, waitMs, waitMs + answerMs);
		} catch (error) {
			if (!(error instanceof HistoryGoneError)) {
				throw error;
			}

			log.warn('Store no longer has the requested history; the table is listed again.', {path: options.name, reason: error instanceof StoreRestoredError ? 'restored' : 'dropped'});
			if (error instanceof StoreRestoredError) {
				handler.restored?.(error.knownForMs);
				relayLog.restored(error.knownForMs);
			}

			await list();
			return;
		}

		apply(changes, performance.now() - sentAt);
	};

	const poll = async (): Promise<void> => {
		if (version === undefined) {
			await list();
			return;
		}

		// After a failure or skipped polls the feed may be behind, and peers may wait for a new reader.
		const wait = failures > 0 || isHinted || hasSkippedPolls ? 0 : options.waitMs();
		isHinted = false;
		hasSkippedPolls = false;
		await update(wait);
	};

	const failed = async (error: unknown): Promise<void> => {
		failures++;
		if (failures === 1) {
			log.warn('Store did not respond with current rows.', {path: options.name, ms: roundedMs(ageMs()), err: error});
		}

		await pause(Math.min(sharing.isFirstChoice() ? maxBackoffMs : sharing.freshMs, minBackoffMs * (2 ** Math.min(failures - 1, 8))));
	};

	/** Logs only the first of several consecutive overdue relays. */
	const logMissingRelays = (): void => {
		if (!areRelaysMissing) {
			areRelaysMissing = true;
			log.info('No peer relays a table; the store is polled.', {path: options.name, ms: roundedMs(ageMs())});
		}
	};

	/** Waits while relays keep the table current. */
	const waitUntilDue = async (): Promise<void> => {
		while (!closing.signal.aborted) {
			if (version === undefined) {
				return;
			}

			const readerInMs = sharing.readerInMs();
			const leftMs = Math.min(readerInMs, sharing.freshMs - ageMs());
			if (leftMs <= 0) {
				if (readerInMs > 0) {
					logMissingRelays();
				}

				return;
			}

			hasSkippedPolls = true;
			await pause(Math.ceil(leftMs));
		}
	};

	const run = async (): Promise<void> => {
		while (!closing.signal.aborted) {
			hasChanges = false;
			await waitUntilDue();
			try {
				await poll();
			} catch (error) {
				await failed(error);
			}

			if (hasChanges && options.coalesceMs > 0) {
				await pause(options.coalesceMs);
			}
		}
	};

	/** The feed is the only source of some tables, so that no error may end it. */
	const runUntilClosed = async (): Promise<void> => {
		while (!closing.signal.aborted) {
			try {
				await run();
			} catch (error) {
				log.error('Feed of a table failed; it goes on.', {path: options.name, err: error});
				await pause(maxBackoffMs);
			}
		}
	};

	const pollAfter = async (delayMs: number, isNeeded: () => boolean): Promise<void> => {
		isHinted = true;
		try {
			await pause(delayMs);
			if (isNeeded()) {
				await update(0);
			}
		} catch (error) {
			ignoreHintsUntil = performance.now() + maxBackoffMs;
			log.debug('Store did not respond to an additional poll.', {path: options.name, err: error});
		} finally {
			isHinted = false;
		}
	};

	/** Polls the store without waiting after `delayMs`, if that is still needed then. */
	const schedulePoll = (delayMs: number, isNeeded: () => boolean): void => {
		// After a failure the feed polls again anyway, with backoff.
		const isBackingOff = failures > 0 || performance.now() < ignoreHintsUntil;
		if (version !== undefined && !isHinted && !isBackingOff && isNeeded()) {
			void pollAfter(delayMs, isNeeded);
		}
	};

	/** Applies a relay, or holds it until its predecessor has arrived. */
	const acceptRelay = (relay: FeedRelay): void => {
		const {since, version: upTo, rows, isPrompt} = relay;
		const storeMs = relay.storeMs ?? undefined;
		if (storeMs !== undefined) {
			clock.observe(storeMs, upTo);
		}

		if (version! < since) {
			earlyRelay = relay;
			schedulePoll(sharing.relayDelayMs, () => version! < since);
			return;
		}

		const unseenMs = isPrompt ? 0 : ageMs();
		// Each reader of a table relays the same rows.
		const newRows = rows.filter(([, changedIn]) => changedIn > version!);
		if (accept({version: upTo, changes: newRows.map(row => source.decode(row)), storeMs}, unseenMs)) {
			recordTime(storeMs);
			areRelaysMissing = false;
		}
	};

	void runUntilClosed();
	return {
		ageMs,
		newestChange: () => newestChange,
		position: () => version ?? 0,
		async refresh() {
			if (refreshing === undefined) {
				refreshing = startRefresh();
				return refreshing;
			}

			nextRefresh ??= refreshAfter(refreshing);
			return nextRefresh;
		},
		hint(known) {
			schedulePoll(options.coalesceMs + sharing.relayDelayMs, () => known > Math.max(version!, newestChange));
		},
		relayed(daemon, relay) {
			sharing.relayed(daemon);
			if (version === undefined) {
				return;
			}

			if (relay.outage !== null) {
				handler.recovered?.(...relay.outage);
			}

			if (relay.restoredMs !== null) {
				handler.restored?.(relay.restoredMs);
			}

			acceptRelay(relay);
			if (earlyRelay !== undefined && version >= earlyRelay.since) {
				const next = earlyRelay;
				earlyRelay = undefined;
				acceptRelay(next);
			}
		},
		close() {
			closing.abort();
		},
	};
}

function roundedMs(ms: number): number | undefined {
	return Number.isFinite(ms) ? Math.round(ms) : undefined;
}
