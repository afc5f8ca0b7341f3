/**
 * Preserves the times at which the operator named weights across a restart of the whole fleet.
 * The lease holder stores them with its lease, on the store's clock.
 */
import {z} from 'zod';
import {type FleetView} from '../fleet/fleet-view.js';
import {type Log} from '../observability/log.js';

const recordSchema = z.object({
	/** Generation of the store by whose clock times are given; another one may have another clock. */
	generation: z.number().default(0),
	/** Store time up to which all namings are listed, in milliseconds. */
	asOf: z.number(),
	/** Model, version, store time of the naming or null, whether that time is exact or the earliest possible one. */
	named: z.array(z.tuple([z.string(), z.number(), z.number().nullable(), z.boolean()])),
});

type StoredRecord = z.infer<typeof recordSchema>;

/** Options of {@link createNamingRecord}. */
export type NamingRecordOptions = {
	view: FleetView;
	/** The store's steady clock in milliseconds; `undefined` before its first answer. */
	storeMs: () => number | undefined;
	/** Generation of the store that the clock belongs to. */
	generation: () => number;
	/** Milliseconds since this daemon was last up to date with the namings; infinite if never. */
	feedAgeMs: () => number;
	log: Log;
};

/** The record. */
export type NamingRecord = {
	/** The record to store; `undefined` while nothing is known. */
	encode: () => string | undefined;
	/** Replaces the record by a stored one and applies it; ignores an invalid one. */
	accept: (text: string) => void;
	/** Applies the stored times to the namings that the view has received since. */
	apply: () => void;
};

/** Creates an empty record. */
export function createNamingRecord({
	view, storeMs, generation, feedAgeMs, log,
}: NamingRecordOptions): NamingRecord {
	let stored: StoredRecord | undefined;
	let storedText: string | undefined;

	const apply = (): void => {
		const now = storeMs();
		if (stored === undefined || now === undefined || stored.generation !== generation()) {
			return;
		}

		const {asOf, named} = stored;
		for (const [model, version, at, isDated] of named) {
			if (at !== null) {
				view.restoreWeights(model, {version, ageMs: Math.max(0, now - at), isDated});
			}
		}

		for (const {model, version} of view.namings()) {
			if (!named.some(([storedModel, storedVersion]) => storedModel === model && storedVersion === version)) {
				view.boundWeights(model, version, Math.max(0, now - asOf));
			}
		}
	};

	return {
		encode() {
			const now = storeMs();
			const namings = view.namings();
			const feedAge = feedAgeMs();
			if (now === undefined || namings.length === 0 || !Number.isFinite(feedAge)) {
				return storedText;
			}

			const record: StoredRecord = {
				generation: generation(),
				asOf: Math.floor(now - feedAge),
				named: namings.map(({model, version, ageMs, isDated}) => [model, version, Number.isFinite(ageMs) ? Math.floor(now - ageMs) : null, isDated]),
			};
			return JSON.stringify(record);
		},
		accept(text) {
			if (text === storedText) {
				return;
			}

			try {
				stored = recordSchema.parse(JSON.parse(text));
				storedText = text;
			} catch (error) {
				log.warn('Stored record of named weights is invalid.', {err: error});
				return;
			}

			apply();
		},
		apply,
	};
}
