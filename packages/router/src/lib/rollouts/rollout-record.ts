/** The record of a rollout in the table. It is written before orders are sent, so that a new owner can continue from it. */
import {z} from 'zod';
import {type TableClient} from '../platform/platform.js';
import {RolloutRecordError} from './rollout-errors.js';

const stepSchema = z.strictObject({
	/** Version that the endpoint was ordered to load. */
	version: z.string(),
	/** Time of the order, in milliseconds since 1970. */
	orderedMs: z.number(),
});

const recordSchema = z.strictObject({
	/** Version that the configuration document names. */
	target: z.string(),
	/** Version that a rollback returns to. */
	previous: z.string(),
	/**
	 * `forward`: endpoints move to the target; `back`: they roll back to the previous
	 * version; `halted`: no orders are sent until the document names another version.
	 */
	phase: z.enum(['forward', 'back', 'halted']),
	/** Why the rollout left phase `forward`. */
	reason: z.string(),
	/** Orders that are not known to be completed, by endpoint. */
	steps: z.record(z.string(), stepSchema),
});

export type RolloutRecord = z.infer<typeof recordSchema>;
export type RolloutStep = z.infer<typeof stepSchema>;

/** A record with its row version in the table; version 0 when there is none. */
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
 * Writes the record if its row has not changed since it was read.
 *
 * @throws {RolloutRecordError} when another daemon wrote it and now owns the rollout.
 */
export async function writeRecord(table: TableClient, service: string, stored: StoredRecord, record: RolloutRecord): Promise<StoredRecord> {
	const key = keyOf(service);
	const result = await table.transact([{key, value: JSON.stringify(record), ifVersion: stored.version}]);
	if (!result.committed) {
		throw new RolloutRecordError(`Another daemon updated the record of the rollout of ${service}.`);
	}

	return {record, version: result.versions[key]};
}
