/** Follows a table of the store: one listing, then long polls for changes. */
import {LayerError} from '../errors/layer-error.js';
import {type Log} from '../observability/log.js';
import {pause} from '../time/pause.js';

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
};

/** Rows, with the store version that they are current at. */
export type Changes<T> = {
	changes: ReadonlyArray<Change<T>>;
	/** Grows with each transaction of the store. */
	version: number;
};

/** A table that can be listed and followed. Both methods throw the platform's errors. */
export type ChangeSource<T> = {
	list: (limitMs: number) => Promise<Changes<T>>;
	/**
	 * Changes after a version; waits up to `waitMs` for one.
	 * @throws {HistoryGoneError} when the store has dropped that part of its history.
	 */
	changes: (after: number, waitMs: number, limitMs: number) => Promise<Changes<T>>;
};

/** Receives the rows of a followed table. */
export type ChangeHandler<T> = {
	/** All rows; rows not among them were deleted. They may have changed up to `unseenMs` ago. */
	replace: (rows: ReadonlyArray<Change<T>>, unseenMs: number) => void;
	/** Changed rows, at most `unseenMs` old; 0 while the feed is current. */
	update: (rows: ReadonlyArray<Change<T>>, unseenMs: number) => void;
	/** The first successful call after failures, `awayMs` after the last success. */
	regained?: (awayMs: number) => void;
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
	close: () => void;
};

/** Exponential backoff after failed calls. */
const minBackoffMs = 50;
const maxBackoffMs = 400;

/** Follows a table until closed. */
export function followChanges<T>(options: ChangeFeedOptions<T>): ChangeFeed {
	const {source, handler, log, answerMs} = options;
	let version: number | undefined;
	let newestChange = 0;
	let answeredAt = Number.NEGATIVE_INFINITY;
	let failures = 0;
	const closing = new AbortController();
	let isHinted = false;
	/** Hints are ignored until then. */
	let hintsFrom = Number.NEGATIVE_INFINITY;
	let hasNews = false;

	const answered = (): void => {
		if (failures > 0) {
			const awayMs = performance.now() - answeredAt;
			log.info('Store answers again.', {path: options.name, ms: Math.round(awayMs), count: failures});
			handler.regained?.(awayMs);
			failures = 0;
		}

		answeredAt = performance.now();
	};

	const note = (rows: ReadonlyArray<Change<T>>): void => {
		for (const row of rows) {
			newestChange = Math.max(newestChange, row.version);
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
			handler.replace(all.changes, unseenMs);
		}
	};

	const apply = (news: Changes<T>, isPrompt: boolean): void => {
		const unseenMs = isPrompt && failures === 0 ? 0 : performance.now() - answeredAt;
		answered();
		if (version === undefined || news.version < version) {
			return;
		}

		version = news.version;
		if (news.changes.length > 0) {
			hasNews = true;
			note(news.changes);
			handler.update(news.changes, unseenMs);
		}
	};

	const ask = async (): Promise<void> => {
		if (version === undefined) {
			await list();
			return;
		}

		// After a failure the feed may be far behind, so it doesn't wait.
		const wait = failures > 0 || isHinted ? 0 : options.waitMs();
		isHinted = false;
		apply(await source.changes(version, wait, wait + answerMs), true);
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

		await pause(Math.min(maxBackoffMs, minBackoffMs * (2 ** Math.min(failures - 1, 8))));
	};

	const run = async (): Promise<void> => {
		while (!closing.signal.aborted) {
			hasNews = false;
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

	void run();
	return {
		ageMs: () => performance.now() - answeredAt,
		newestChange: () => newestChange,
		hint(known) {
			// After a failure the feed asks again by itself, with backoff.
			const isBackingOff = failures > 0 || performance.now() < hintsFrom;
			if (version === undefined || known <= Math.max(version, newestChange) || isHinted || isBackingOff) {
				return;
			}

			isHinted = true;
			void (async () => {
				try {
					await pause(options.restMs);
					if (known <= Math.max(version, newestChange)) {
						return;
					}

					apply(await source.changes(version, 0, answerMs), false);
				} catch (error) {
					hintsFrom = performance.now() + maxBackoffMs;
					log.debug('Store gave no answer to a further question.', {path: options.name, err: error});
				} finally {
					isHinted = false;
				}
			})();
		},
		close() {
			closing.abort();
		},
	};
}

function roundedAgeMs(at: number): number | undefined {
	return Number.isFinite(at) ? Math.round(performance.now() - at) : undefined;
}
