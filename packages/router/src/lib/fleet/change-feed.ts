/**
 * Follows a table of the store: one listing, then changes, from the store or from a peer that
 * reads the table and relays its answers.
 */
import {LayerError} from '../errors/layer-error.js';
import {type Log} from '../observability/log.js';
import {pause} from '../time/pause.js';
import {createRelayLog, type FeedRelay, type RelayedRow} from './feed-relay.js';

/** The store no longer has the requested history; the table must be listed again. */
export class HistoryGoneError extends LayerError {
	readonly code = 'history_gone';
}

/** One row of a followed table. */
export type Change<T> = {
	key: string;
	/** `undefined` when the row was deleted or is invalid. */
	item: T | undefined;
	/** Store version that wrote the row. */
	version: number;
	/** Content in the store; `undefined` when the row was deleted. */
	text?: string | undefined;
};

/** Rows, with the store version that they are current at. */
export type Changes<T> = {
	changes: ReadonlyArray<Change<T>>;
	/** Grows with each transaction of the store. */
	version: number;
};

/** A table that can be listed and followed. `list` and `changes` throw the platform's errors. */
export type ChangeSource<T> = {
	list: (limitMs: number) => Promise<Changes<T>>;
	/**
	 * Changes after a version; waits up to `waitMs` for one.
	 * @throws {HistoryGoneError} when the store has dropped that part of its history.
	 */
	changes: (after: number, waitMs: number, limitMs: number) => Promise<Changes<T>>;
	/** Decodes a row that a peer relayed. */
	decode: (row: RelayedRow) => Change<T>;
};

/** Receives the rows of a followed table. */
export type ChangeHandler<T> = {
	/** All rows; rows not among them were deleted. They may have changed up to `unseenMs` ago. */
	replace: (rows: ReadonlyArray<Change<T>>, unseenMs: number) => void;
	/** Changed rows, at most `unseenMs` old; 0 while the feed is current. */
	update: (rows: ReadonlyArray<Change<T>>, unseenMs: number) => void;
	/** The store answered `sinceMs` ago after an outage of `awayMs`; may be told again of the same outage. */
	regained?: (awayMs: number, sinceMs: number) => void;
};

/** How daemons share the reading of a table; durations in milliseconds. */
export type FeedSharing = {
	/** Time until this daemon should read the table for its peers; 0 while it does. */
	readerInMs: () => number;
	/** Time after an answer or a relay for which the table counts as current without asking. */
	trustMs: () => number;
	/** Time that a relay may take longer than a hint of the same change. */
	relayMs: number;
	/** Upper bound of the backoff after failed calls. */
	maxBackoffMs: () => number;
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
	relayed: (relay: FeedRelay) => void;
	close: () => void;
};

/** Exponential backoff after failed calls. */
const minBackoffMs = 50;
const maxBackoffMs = 400;

/** A gap between two calls, beyond the rest, below which the feed counts as uninterrupted. */
const maxGapMs = 100;

const readsAlone: FeedSharing = {
	readerInMs: () => 0,
	trustMs: () => 0,
	relayMs: 0,
	maxBackoffMs: () => maxBackoffMs,
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
	let isReader = false;
	/** A relay that arrived before the one it follows. */
	let outrunning: FeedRelay | undefined;
	/** Relays were missing at the latest look. */
	let isUnattended = false;
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

	const relay = (isPrompt: boolean): void => {
		const isElected = sharing.readerInMs() === 0;
		if (isElected !== isReader) {
			isReader = isElected;
			log.info(isReader ? 'Daemon reads a table for its peers.' : 'Daemon leaves a table to its peers.', {path: options.name});
		}

		if (isReader) {
			sharing.relay(relayLog.take(isPrompt));
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
			relay(false);
		}
	};

	/** Takes over rows that are complete up to `news.version`; returns whether they were not outdated. */
	const accept = (news: Changes<T>, unseenMs: number): boolean => {
		if (version === undefined || news.version < version) {
			return false;
		}

		relayLog.changed(news);
		version = news.version;
		if (news.changes.length > 0) {
			note(news.changes);
			handler.update(news.changes, unseenMs);
		}

		return true;
	};

	const apply = (news: Changes<T>, isPrompt: boolean): void => {
		const isUninterrupted = isPrompt && failures === 0;
		const unseenMs = isUninterrupted ? 0 : performance.now() - answeredAt;
		answered();
		if (accept(news, unseenMs)) {
			hasNews ||= news.changes.length > 0;
			relay(isUninterrupted);
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

		await pause(Math.min(sharing.maxBackoffMs(), minBackoffMs * (2 ** Math.min(failures - 1, 8))));
	};

	/** Logs once that relays are missing. */
	const noteUnattended = (isMissing: boolean): void => {
		if (isMissing && !isUnattended) {
			log.info('No peer relays a table; the store is asked.', {path: options.name, ms: roundedAgeMs(answeredAt)});
		}

		isUnattended = isMissing;
	};

	/** Waits while peers' relays keep the table current. */
	const untilDue = async (): Promise<void> => {
		while (!closing.signal.aborted) {
			if (version === undefined) {
				return;
			}

			const trustedMs = answeredAt + sharing.trustMs() - performance.now();
			const readerInMs = sharing.readerInMs();
			if (Math.min(trustedMs, readerInMs) <= 0) {
				noteUnattended(readerInMs > 0);
				return;
			}

			const leftMs = Math.min(trustedMs, readerInMs);

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

	/** Asks the store without waiting after `restMs`, if that is still needed then. */
	const askSoon = async (restMs: number, isNeeded: () => boolean): Promise<void> => {
		// After a failure the feed asks again by itself, with backoff.
		const isBackingOff = failures > 0 || performance.now() < hintsFrom;
		if (version === undefined || isHinted || isBackingOff || !isNeeded()) {
			return;
		}

		isHinted = true;
		try {
			await pause(restMs);
			if (isNeeded()) {
				apply(await source.changes(version, 0, answerMs), false);
			}
		} catch (error) {
			hintsFrom = performance.now() + maxBackoffMs;
			log.debug('Store gave no answer to a further question.', {path: options.name, err: error});
		} finally {
			isHinted = false;
		}
	};

	/** Applies a relay, unless it outruns an earlier one that may still arrive. */
	const acceptRelay = (relay: FeedRelay): void => {
		const {since, version: upTo, rows, isPrompt} = relay;
		if (version! < since) {
			outrunning = relay;
			void askSoon(sharing.relayMs, () => version! < since);
			return;
		}

		const unseenMs = isPrompt ? 0 : performance.now() - answeredAt;
		if (accept({version: upTo, changes: rows.map(row => source.decode(row))}, unseenMs)) {
			answeredAt = performance.now();
			isUnattended = false;
		}
	};

	void run();
	return {
		ageMs: () => performance.now() - answeredAt,
		newestChange: () => newestChange,
		hint(known) {
			void askSoon(options.restMs + sharing.relayMs, () => known > Math.max(version!, newestChange));
		},
		relayed(relay) {
			if (version === undefined) {
				return;
			}

			if (relay.outage !== null) {
				handler.regained?.(...relay.outage);
			}

			acceptRelay(relay);
			if (outrunning !== undefined && version >= outrunning.since) {
				const later = outrunning;
				outrunning = undefined;
				acceptRelay(later);
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
