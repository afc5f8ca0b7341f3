/** The table row of a duty's lease. */
import {z} from 'zod';
import {type TableRow} from '../platform/platform.js';
import {LeaseTableError} from './lease-errors.js';

const prefix = 'leases/';

const leaseSchema = z.object({
	/** Daemon that holds the duty; empty when it was released. */
	holder: z.string(),
	/** Incarnation of its process, in decimal. */
	incarnation: z.string().regex(/^\d{1,20}$/v),
	/** Fencing token. Increases with each acquisition. */
	fencing: z.number().int().nonnegative(),
	/** Number of the write attempt of that process; never used twice. */
	attempt: z.number().int(),
	/** Duration of the lease in milliseconds, if it is longer than usual. */
	leaseMs: z.number().positive().optional(),
	/** Text that the holder stores for its successors. */
	note: z.string().optional(),
});

/** A parsed lease row. */
export type LeaseRow = z.infer<typeof leaseSchema>;

/** The key of a duty's row. */
export const leaseKey = (duty: string) => prefix + duty;

/** Key prefix of all lease rows. */
export const leasePrefix = prefix;

/** The duty that a key belongs to. */
export const dutyOf = (key: string) => key.slice(prefix.length);

/** What daemons may have written into a row. */
export type LeaseRowLimits = {maxFencing: number; maxLeaseMs: number};

/** Parses a row. @throws when its value doesn't match the schema, or is above a limit. */
export function parseLeaseRow(row: TableRow, {maxFencing, maxLeaseMs}: LeaseRowLimits): LeaseRow {
	const lease = leaseSchema.parse(JSON.parse(row.value));
	if (lease.fencing > maxFencing) {
		throw new LeaseTableError(`The row ${row.key} has the fencing token ${lease.fencing}, which no daemon has given out.`);
	}

	if (lease.leaseMs !== undefined && lease.leaseMs > maxLeaseMs) {
		throw new LeaseTableError(`The row ${row.key} has a lease of ${lease.leaseMs} ms, which is longer than any.`);
	}

	return lease;
}
