/** A table of the store that can be followed, and what receives its rows. */
import {LayerError} from '../errors/layer-error.js';
import {type RelayedRow} from './feed-relay.js';

/** The store no longer has the requested history; the table must be listed again. */
export class HistoryGoneError extends LayerError {
	readonly code: string = 'history_gone';
}

/** The store has come back from an older copy, so all that was read before may have changed. */
export class StoreRestoredError extends HistoryGoneError {
	override readonly code = 'store_restored';

	/** @param knownForMs Milliseconds since this daemon learned that the store has come back. */
	constructor(message: string, readonly knownForMs: number) {
		super(message);
	}
}

/** The store listed a table as of an earlier version than one that was seen before. */
export class OutdatedListingError extends LayerError {
	readonly code = 'outdated_listing';
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
	/** Holds secrets, so it isn't relayed. */
	isSecret?: boolean;
};

/** Rows, with the store version that they are current at. */
export type Changes<T> = {
	changes: ReadonlyArray<Change<T>>;
	/** Grows with each transaction of the store, also when the store comes back from an older copy. */
	version: number;
	/** The store's clock when it answered, in milliseconds; `undefined` if it didn't say. */
	storeMs?: number | undefined;
	/** The store left an earlier attempt at this call without an answer, so that changes since the answer before were not awaited. */
	isRepeated?: boolean | undefined;
};

/** A table that can be listed and followed. `list` and `changes` throw the platform's errors. */
export type ChangeSource<T> = {
	list: (limitMs: number) => Promise<Changes<T>>;
	/**
	 * Changes after a version; waits up to `waitMs` for one.
	 * @throws {HistoryGoneError} when the store has dropped that part of its history.
	 * @throws {StoreRestoredError} when the store has come back from an older copy since.
	 */
	changes: (after: number, waitMs: number, limitMs: number) => Promise<Changes<T>>;
	/** Decodes a row that a peer relayed. */
	decode: (row: RelayedRow) => Change<T>;
};

/** Receives the rows of a followed table. */
export type ChangeHandler<T> = {
	/** All rows; rows not among them were deleted. They may have changed up to `unseenMs` ago. */
	replace: (rows: ReadonlyArray<Change<T>>, unseenMs: number) => void;
	/** Changed rows, at most `unseenMs` old; 0 while the feed is current. They changed when the store answered, which is `answeredMs` ago. */
	update: (rows: ReadonlyArray<Change<T>>, unseenMs: number, answeredMs?: number) => void;
	/** The store responded `sinceMs` ago after an outage of `outageMs`; may be called again for the same outage. */
	recovered?: (outageMs: number, sinceMs: number) => void;
	/**
	 * The store came back from an older copy at least `sinceMs` ago: rows may be missing, and rows that were
	 * deleted may be back. Called before the rows of the copy are passed on; may be called again for the same copy.
	 */
	restored?: (sinceMs: number) => void;
};
