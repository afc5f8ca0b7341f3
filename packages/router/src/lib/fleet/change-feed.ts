/**
 * Follows a table of the store: one listing, then changes, from the store or from a peer that
 * reads the table and relays its answers.
 */
import {type Log} from '../observability/log.js';
import {pause} from '../time/pause.js';
import {
	type Change, type ChangeHandler, type Changes, type ChangeSource, HistoryGoneError,
} from './change-source.js';
import {createRelayLog, type FeedRelay} from './feed-relay.js';

/** How daemons share the reading of a table; durations in milliseconds. */
export type FeedSharing = {
	/** Time until this daemon should read the table for its peers; 0 while it does. */
	readerInMs: () => number;
	/** Whether this daemon is among the first to read the table; the others back off for longer after failed calls. */
	isFirstChoice: () => boolean;
	/** A peer relayed an answer of the store. */
	relayed: (daemon: string) => void;
	/** Time after an answer or a relay for which the table counts as current without asking. */
	trustMs: number;
	/** Time that a relay may take longer than a hint of the same change. */
	relayMs: number;
	/** Relays an answer of the store to peers. */
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
	answerMs: number;
	/**
	 * Pause after an answer with changes and before a hint is followed, to coalesce bursts of
	 * updates into one call.
	 */
	restMs: number;
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
	/**
	 * A peer has seen this change. Unless it arrives within `restMs`, the feed asks the store
	 * without waiting.
	 */
	hint: (newestChange: number) => void;
	/** A peer relays an answer of the store. */
	relayed: (daemon: string, relay: FeedRelay) => void;
	close: () => void;
};

/** Exponential backoff after failed calls. */
const minBackoffMs = 50;
const maxBackoffMs = 400;

/** A gap between two calls, beyond the rest, below which the feed counts as uninterrupted. */
const maxGapMs = 100;

const readsAlone: FeedSharing = {
	readerInMs: () => 0,
	isFirstChoice: () => true,
	relayed() {
		// No peer reads for this daemon.
	},
	trustMs: 0,
	relayMs: 0,
	relay() {
		// No peer relies on this daemon.
	},
};

/** Follows a table until closed. */
export function followChanges<T>(options: ChangeFeedOptions<T>): ChangeFeed {
	const {source, handler, log, answerMs} = options;
	const sharing = options.sharing ?? readsAlone;
	const relayLog = createRelayLog();
	let version: number | undefined;
	let newestChange = 0;
	let answeredAt = Number.NEGATIVE_INFINITY;
	let failures = 0;
	/** The latest call was made some time ago, since peers kept the table current. */
	let hasRested = false;
	/** The latest answer was relayed. */
	let isReader = false;
	/** A relay that arrived before the one it follows. */
	let earlyRelay: FeedRelay | undefined;
	/** No relay arrived in time, and none has since. */
	let areRelaysMissing = false;
	const closing = new AbortController();
	let isHinted = false;
	/** Hints are ignored until then. */
	let hintsFrom = Number.NEGATIVE_INFINITY;
	let hasNews = false;

	const answered = (): void => {
		if (failures > 0) {
			const awayMs = performance.now() - answeredAt;
			log.info('Store answers again.', {path: options.name, ms: Math.round(awayMs), count: failures});
			handler.regained?.(awayMs, 0);
			relayLog.regained(awayMs);
			failures = 0;
		}

		answeredAt = performance.now();
	};

	const note = (rows: ReadonlyArray<Change<T>>): void => {
		for (const row of rows) {
			newestChange = Math.max(newestChange, row.version);
		}
	};

	const relayNews = (): void => {
		const isElected = sharing.readerInMs() === 0;
		if (isElected !== isReader) {
			isReader = isElected;
			log.info(isReader ? 'Daemon reads a table for its peers.' : 'Daemon leaves a table to its peers.', {path: options.name});
		}

		if (isReader) {
			sharing.relay(relayLog.take());
		}
	};

	const list = async (): Promise<void> => {
		const all = await source.list(answerMs * 2);
		const unseenMs = performance.now() - answeredAt;
		answered();
		// A stale listing must not revert newer state.
		if (version === undefined || all.version >= version) {
			version = all.version;
			note(all.changes);
			relayLog.listed(all);
			handler.replace(all.changes, unseenMs);
			relayNews();
		}
	};

	/** Applies changes up to `news.version`; returns false if they are outdated. */
	const accept = (news: Changes<T>, unseenMs: number): boolean => {
		if (version === undefined || news.version < version) {
			return false;
		}

		relayLog.changed(news, unseenMs === 0);
		version = news.version;
		if (news.changes.length > 0) {
			note(news.changes);
			handler.update(news.changes, unseenMs);
		}

		return true;
	};

	const apply = (news: Changes<T>, isPrompt: boolean): void => {
		const unseenMs = isPrompt && failures === 0 ? 0 : performance.now() - answeredAt;
		answered();
		if (accept(news, unseenMs)) {
			hasNews ||= news.changes.length > 0;
			relayNews();
		}
	};

	const ask = async (): Promise<void> => {
		if (version === undefined) {
			await list();
			return;
		}

		// After a failure or a rest the feed may be behind, and peers may wait for a new reader.
		const wait = failures > 0 || isHinted || hasRested ? 0 : options.waitMs();
		isHinted = false;
		hasRested = false;
		const isPrompt = performance.now() - answeredAt <= options.restMs + maxGapMs;
		apply(await source.changes(version, wait, wait + answerMs), isPrompt);
	};

	const failed = async (error: unknown): Promise<void> => {
		if (error instanceof HistoryGoneError) {
			log.warn('History of the store is gone, the table is listed anew.', {path: options.name});
			try {
				await list();
				return;
			} catch (listError) {
				log.warn('Table could not be listed.', {path: options.name, err: listError});
			}
		}

		failures++;
		if (failures === 1) {
			log.warn('Store gave no answer.', {path: options.name, ms: roundedAgeMs(answeredAt), err: error});
		}

		await pause(Math.min(sharing.isFirstChoice() ? maxBackoffMs : sharing.trustMs, minBackoffMs * (2 ** Math.min(failures - 1, 8))));
	};

	/** Logs the first of several times at which no relay arrived. */
	const noteMissingRelays = (): void => {
		if (!areRelaysMissing) {
			areRelaysMissing = true;
			log.info('No peer relays a table; the store is asked.', {path: options.name, ms: roundedAgeMs(answeredAt)});
		}
	};

	/** Waits while peers' relays keep the table current. */
	const untilDue = async (): Promise<void> => {
		while (!closing.signal.aborted) {
			if (version === undefined) {
				return;
			}

			const readerInMs = sharing.readerInMs();
			const leftMs = Math.min(readerInMs, answeredAt + sharing.trustMs - performance.now());
			if (leftMs <= 0) {
				if (readerInMs > 0) {
					noteMissingRelays();
				}

				return;
			}

			hasRested = true;
			await pause(Math.ceil(leftMs));
		}
	};

	const run = async (): Promise<void> => {
		while (!closing.signal.aborted) {
			hasNews = false;
			await untilDue();
			try {
				await ask();
			} catch (error) {
				await failed(error);
			}

			if (hasNews && options.restMs > 0) {
				await pause(options.restMs);
			}
		}
	};

	const askAfter = async (restMs: number, isNeeded: () => boolean): Promise<void> => {
		isHinted = true;
		try {
			await pause(restMs);
			if (isNeeded()) {
				apply(await source.changes(version!, 0, answerMs), false);
			}
		} catch (error) {
			hintsFrom = performance.now() + maxBackoffMs;
			log.debug('Store gave no answer to a further question.', {path: options.name, err: error});
		} finally {
			isHinted = false;
		}
	};

	/** Asks the store without waiting after `restMs`, if that is still needed then. */
	const askSoon = (restMs: number, isNeeded: () => boolean): void => {
		// After a failure the feed asks again by itself, with backoff.
		const isBackingOff = failures > 0 || performance.now() < hintsFrom;
		if (version !== undefined && !isHinted && !isBackingOff && isNeeded()) {
			void askAfter(restMs, isNeeded);
		}
	};

	/** Applies a relay, or keeps it for a moment if the one before it is missing. */
	const acceptRelay = (relay: FeedRelay): void => {
		const {since, version: upTo, rows, isPrompt} = relay;
		if (version! < since) {
			earlyRelay = relay;
			askSoon(sharing.relayMs, () => version! < since);
			return;
		}

		const unseenMs = isPrompt ? 0 : performance.now() - answeredAt;
		// Each reader of a table relays the same rows.
		const news = rows.filter(([, changedIn]) => changedIn > version!);
		if (accept({version: upTo, changes: news.map(row => source.decode(row))}, unseenMs)) {
			answeredAt = performance.now();
			areRelaysMissing = false;
		}
	};

	void run();
	return {
		ageMs: () => performance.now() - answeredAt,
		newestChange: () => newestChange,
		hint(known) {
			askSoon(options.restMs + sharing.relayMs, () => known > Math.max(version!, newestChange));
		},
		relayed(daemon, relay) {
			sharing.relayed(daemon);
			if (version === undefined) {
				return;
			}

			if (relay.outage !== null) {
				handler.regained?.(...relay.outage);
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

function roundedAgeMs(at: number): number | undefined {
	return Number.isFinite(at) ? Math.round(performance.now() - at) : undefined;
}
