/**
 * Incremental updates in bundles. A daemon sends each batch in two successive reports, so that it
 * reaches every daemon although a datagram is lost; receivers apply each batch once.
 */
import {z} from 'zod';
import {type PeerReport, peerReportSchema} from './peer-report.js';

/** Updates of one kind of report field each. */
export type Updates = Pick<PeerReport, 'kept' | 'placed'>;

/** Number of the report that first carried the batch, and its updates. */
const batchesSchema = z.array(z.tuple([z.number(), peerReportSchema.shape.kept, peerReportSchema.shape.placed]));

/** Number of successive reports that carry a batch. */
const batchRepeats = 2;

/** Updates of this daemon for its bundles. */
export type OwnUpdates = {
	/** Adds the updates that report `number` is the first to carry, and returns what it carries. */
	encode: (number: number, updates: Updates) => {updatedNumber: number; updates: string};
};

/** Creates the record of this daemon. */
export function createOwnUpdates(): OwnUpdates {
	let batches: Array<{number: number; updates: Updates}> = [];

	return {
		encode(number, updates) {
			batches = [...batches, {number, updates}].slice(-batchRepeats);
			const filled = batches.filter(({updates: {kept, placed}}) => kept.length + placed.length > 0);
			return {
				updatedNumber: filled.at(-1)?.number ?? 0,
				updates: filled.length === 0 ? '' : JSON.stringify(filled.map(batch => [batch.number, batch.updates.kept, batch.updates.placed])),
			};
		},
	};
}

/** Updates of the batches after report `appliedNumber`. @throws when they are invalid. */
export function updatesSince(encoded: string, appliedNumber: number): Updates {
	const result: Updates = {kept: [], placed: []};
	for (const [number, kept, placed] of batchesSchema.parse(JSON.parse(encoded))) {
		if (number > appliedNumber) {
			result.kept.push(...kept);
			result.placed.push(...placed);
		}
	}

	return result;
}
