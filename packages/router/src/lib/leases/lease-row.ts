/** The row that says who holds a duty. */
import {z} from 'zod';
import {type TableRow} from '../platform/platform.js';

const prefix = 'leases/';

const leaseSchema = z.object({
	/** Daemon that holds the duty; empty when it was given back. */
	holder: z.string(),
	/** Its process, in decimal. */
	incarnation: z.string(),
	/** Grows with each change of holder and never starts again: rows are not deleted. */
	fencing: z.number().int(),
	/** Number of the write attempt by that process; never used twice. */
	attempt: z.number().int(),
	/** What the holder leaves to its successors. */
	note: z.string().optional(),
});

/** A parsed row. */
export type LeaseRow = z.infer<typeof leaseSchema>;

/** The table's key of a duty. */
export const leaseKey = (duty: string) => prefix + duty;

/** The part of the table that holds all duties. */
export const leasePrefix = prefix;

/** The duty of a key. */
export const dutyOf = (key: string) => key.slice(prefix.length);

/** Parses a row. */
export function parseLeaseRow(row: TableRow): LeaseRow {
	return leaseSchema.parse(JSON.parse(row.value));
}
