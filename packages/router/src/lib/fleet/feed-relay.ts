/** Relays of a table's changes, through which one daemon polls the store for its peers. */
import {z} from 'zod';
import {positionSchema, unixMsSchema} from './report-numbers.js';

/** A relayed row: key, store version that wrote it, content or null if it was deleted. */
const relayedRowSchema = z.tuple([z.string(), positionSchema, z.string().nullable()]);

/** Schema of a relay. */
export const feedRelaySchema = z.object({
	/** Store version after which the rows are complete. */
	since: positionSchema,
	/** Store version up to which they are complete. */
	version: positionSchema,
	rows: z.array(relayedRowSchema),
	/** The reader saw each of the changes without delay, in the answer that the relay passes on. */
	isPrompt: z.boolean(),
	/** The store's clock when it gave that answer, in milliseconds; null if unknown. */
	storeMs: unixMsSchema.nullable().default(null),
	/** Latest outage that the reader saw: its length, and milliseconds since its end. */
	outage: z.tuple([z.number(), z.number()]).nullable(),
	/** Milliseconds since the reader learned that the store came back from an older copy; null if that is long ago. */
	restoredMs: z.number().nullable().default(null),
});

export type RelayedRow = z.infer<typeof relayedRowSchema>;
export type FeedRelay = z.infer<typeof feedRelaySchema>;

type Row = {key: string; version: number; text?: string | undefined; isSecret?: boolean};
type Rows = {changes: readonly Row[]; version: number; storeMs?: number | undefined};
type PendingRow = Row & {isPrompt: boolean; storeMs: number | undefined};

/** Collects what a reader's next relay carries. */
export type RelayLog = {
	/** All rows of the table; those that are missing were deleted. */
	listed: (rows: Rows) => void;
	/** Rows that have changed up to a version; `isPrompt` if this daemon saw them without delay. */
	changed: (rows: Rows, isPrompt: boolean) => void;
	/** The store responds again after an outage. */
	recovered: (outageMs: number) => void;
	/** The store came back from an older copy at least `sinceMs` ago. */
	restored: (sinceMs: number) => void;
	/** Returns and clears the changes since the last call. */
	take: () => FeedRelay;
};

/** Maximum number of rows stored for the next relay. */
const maxPendingRows = 256;

/** Upper bound of the outage length that a relay states, in milliseconds. */
const maxOutageMs = 3_600_000;

/** Maximum content of one relay, in characters, so that it fits into a datagram. Peers poll the store for the rest. */
const maxRelayChars = 16 * 1024;

/** Time in milliseconds for which relays report an outage, or the return from a copy. */
const outageTtlMs = 10_000;

/** Creates an empty log. */
export function createRelayLog(): RelayLog {
	const keys = new Set<string>();
	let pending = new Map<string, PendingRow>();
	let since = 0;
	let version = 0;
	/** The store's clock at the latest answer. */
	let storeMs: number | undefined;
	let outage: {durationMs: number; endedAt: number} | undefined;
	let restoredAt = Number.NEGATIVE_INFINITY;

	const dropOldest = (): void => {
		const [oldest] = pending.values();
		pending.delete(oldest.key);
		since = Math.max(since, oldest.version);
	};

	const add = (row: Row, isPrompt: boolean): void => {
		pending.delete(row.key);
		pending.set(row.key, {
			...row, text: row.isSecret === true ? '' : row.text, isPrompt, storeMs,
		});
		if (pending.size > maxPendingRows) {
			dropOldest();
		}

		if (row.text === undefined) {
			keys.delete(row.key);
		} else {
			keys.add(row.key);
		}
	};

	const isFirst = (): boolean => version === 0;

	return {
		listed(rows) {
			({storeMs} = rows);
			const listed = new Set(rows.changes.map(({key}) => key));
			if (isFirst()) {
				since = rows.version;
			}

			for (const key of keys) {
				if (!listed.has(key)) {
					add({key, version: rows.version}, false);
				}
			}

			for (const row of rows.changes) {
				if (row.version > version && !isFirst()) {
					add(row, false);
				}

				keys.add(row.key);
			}

			version = rows.version;
		},
		changed(rows, isPrompt) {
			({storeMs} = rows);
			for (const row of rows.changes) {
				add(row, isPrompt);
			}

			version = rows.version;
		},
		recovered(outageMs) {
			outage = {durationMs: Math.min(outageMs, maxOutageMs), endedAt: performance.now()};
		},
		restored(sinceMs) {
			restoredAt = performance.now() - sinceMs;
		},
		take() {
			const rows: RelayedRow[] = [];
			let chars = 0;
			let isPrompt = true;
			for (const row of [...pending.values()].toSorted((a, b) => b.version - a.version)) {
				chars += row.key.length + (row.text?.length ?? 0);
				if (row.isSecret === true || chars > maxRelayChars) {
					since = Math.max(since, row.version);
					break;
				}

				isPrompt &&= row.isPrompt && row.storeMs === storeMs;
				rows.unshift([row.key, row.version, row.text ?? null]);
			}

			const outageMs = outage === undefined ? Number.POSITIVE_INFINITY : performance.now() - outage.endedAt;
			const sinceRestoreMs = performance.now() - restoredAt;
			const relay: FeedRelay = {
				since,
				version,
				rows,
				isPrompt,
				storeMs: storeMs ?? null,
				outage: outageMs <= outageTtlMs ? [Math.round(outage!.durationMs), Math.round(outageMs)] : null,
				restoredMs: sinceRestoreMs <= outageTtlMs ? Math.round(sinceRestoreMs) : null,
			};
			pending = new Map();
			since = version;
			return relay;
		},
	};
}
