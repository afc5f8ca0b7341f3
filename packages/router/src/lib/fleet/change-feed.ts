/**
 * Follows a table of the platform's store: lists it once, then asks for what
 * has changed since, again and again.
 */
import {LayerError} from '../errors/layer-error.js';
import {type Log} from '../observability/log.js';
import {pause} from '../time/pause.js';

/** The store no longer has the changes that were asked for; the table must be listed anew. */
export class HistoryGoneError extends LayerError {
	readonly code = 'history_gone';
}

/** One row of a followed table. */
export type Change<T> = {
	key: string;
	/** What the row holds now; `undefined` when it is gone or can't be read. */
	item: T | undefined;
	/** The store's version at which the row was written. */
	version: number;
};

/** Rows with the store's version that they stand at. */
export type Changes<T> = {
	changes: ReadonlyArray<Change<T>>;
	/** Grows with each transaction of the store. */
	version: number;
};

/** A table that can be listed and followed. Both methods throw the platform's errors. */
export type ChangeSource<T> = {
	list: (limitMs: number) => Promise<Changes<T>>;
	/**
	 * What changed after a version; waits up to `waitMs` for something.
	 * @throws {HistoryGoneError} when the store has dropped that part of its history.
	 */
	changes: (after: number, waitMs: number, limitMs: number) => Promise<Changes<T>>;
};

/** What a follower does with the rows. */
export type ChangeHandler<T> = {
	/** All rows of the table; what is not among them is gone. They may have changed up to `unseenMs` ago. */
	replace: (rows: ReadonlyArray<Change<T>>, unseenMs: number) => void;
	/** Rows that changed, up to `unseenMs` ago: 0 while the store answers at once. */
	update: (rows: ReadonlyArray<Change<T>>, unseenMs: number) => void;
	/** The first successful answer after failures, `awayMs` after the last one before them. */
	regained?: (awayMs: number) => void;
};

/** Options of {@link followChanges}; durations in milliseconds. */
export type ChangeFeedOptions<T> = {
	/** Name of the table, for logs. */
	name: string;
	source: ChangeSource<T>;
	handler: ChangeHandler<T>;
	/** For how long the store may hold a question back when nothing changes; asked anew each time. */
	waitMs: () => number;
	/**
	 * Time over `waitMs` after which a question counts as lost. A connection may
	 * have gone silent for good, and only this shows it; with `waitMs` it bounds
	 * how late a change is heard of.
	 */
	answerMs: number;
	/**
	 * Pause after an answer with changes, and before a peer's hint is acted on. A
	 * change of weights rewrites the entries of all engines within seconds; without
	 * a pause each of them is one call of every daemon, or two where a peer that
	 * rests at another moment knows of it first.
	 */
	restMs: number;
	log: Log;
};

/** A running follower. */
export type ChangeFeed = {
	/** Milliseconds since the store last answered; infinite before the first time. */
	ageMs: () => number;
	/** The newest change of this table that this process has heard of; 0 before the first listing. */
	newestChange: () => number;
	/**
	 * A peer knows this change: if this process has not heard of it after a rest,
	 * its question may be lost, and it asks once more.
	 */
	hint: (newestChange: number) => void;
	close: () => void;
};

/** First pause after a failed question; doubles up to the longest. A store that refuses is not to be pressed. */
const firstPauseMs = 50;
const longestPauseMs = 400;

/** Follows a table until closed. */
export function followChanges<T>(options: ChangeFeedOptions<T>): ChangeFeed {
	const {source, handler, log, answerMs} = options;
	let version: number | undefined;
	let newestChange = 0;
	let answeredAt = Number.NEGATIVE_INFINITY;
	let failures = 0;
	const closing = new AbortController();
	let isHinted = false;
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
		// A listing older than what was heard already would take the view back.
		if (version === undefined || all.version >= version) {
			version = all.version;
			note(all.changes);
			handler.replace(all.changes, unseenMs);
		}
	};

	const take = (news: Changes<T>, isPrompt: boolean): void => {
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

		// After a failure the store may be far ahead: it is asked without waiting.
		const wait = failures > 0 || isHinted ? 0 : options.waitMs();
		isHinted = false;
		take(await source.changes(version, wait, wait + answerMs), true);
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
			log.warn('Store gave no answer.', {path: options.name, ms: ageOf(answeredAt), err: error});
		}

		await pause(Math.min(longestPauseMs, firstPauseMs * (2 ** Math.min(failures - 1, 8))));
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
			if (version === undefined || known <= Math.max(version, newestChange) || isHinted) {
				return;
			}

			isHinted = true;
			void (async () => {
				try {
					await pause(options.restMs);
					if (known <= Math.max(version, newestChange)) {
						return;
					}

					take(await source.changes(version, 0, answerMs), false);
				} catch (error) {
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

function ageOf(at: number): number | undefined {
	return Number.isFinite(at) ? Math.round(performance.now() - at) : undefined;
}
