/** The record of a rollout in the table: written before each act, so that a successor goes on from it. */
import {z} from 'zod';
import {type TableClient} from '../platform/platform.js';
import {RolloutRecordError} from './rollout-errors.js';

const stepSchema = z.strictObject({
	/** Version that the endpoint was told to load. */
	version: z.string(),
	/** Wall clock of the order, in milliseconds since 1970. */
	orderedMs: z.number(),
});

const recordSchema = z.strictObject({
	/** Version that the document asks for. */
	target: z.string(),
	/** Version to go back to. */
	previous: z.string(),
	/**
	 * `forward`: endpoints go to the target; `back`: they return to the previous
	 * version; `halted`: nothing moves until the document asks for another version.
	 */
	phase: z.enum(['forward', 'back', 'halted']),
	/** Why it left `forward`. */
	reason: z.string(),
	/** Orders that were given and are not known to be done, by endpoint. */
	steps: z.record(z.string(), stepSchema),
});

export type RolloutRecord = z.infer<typeof recordSchema>;
export type RolloutStep = z.infer<typeof stepSchema>;

/** A record as it stands in the table. */
export type StoredRecord = {record: RolloutRecord | undefined; version: number};

const keyOf = (service: string) => `rollout/${service}`;

/** Reads the record of a service. */
export async function readRecord(table: TableClient, service: string): Promise<StoredRecord> {
	const row = await table.get(keyOf(service));
	if (row === undefined) {
		return {record: undefined, version: 0};
	}

	try {
		return {record: recordSchema.parse(JSON.parse(row.value)), version: row.version};
	} catch (error) {
		throw new RolloutRecordError(`The record of the rollout of ${service} can't be read. Look at row ${keyOf(service)}.`, {cause: error});
	}
}

/**
 * Writes the record on condition that nobody else did since it was read.
 *
 * @throws {RolloutRecordError} when another daemon wrote: it owns the rollout now.
 */
export async function writeRecord(table: TableClient, service: string, stored: StoredRecord, record: RolloutRecord): Promise<StoredRecord> {
	const key = keyOf(service);
	const result = await table.transact([{key, value: JSON.stringify(record), ifVersion: stored.version}]);
	if (!result.committed) {
		throw new RolloutRecordError(`Another daemon moved the rollout of ${service} on.`);
	}

	return {record, version: result.versions[key]};
}
