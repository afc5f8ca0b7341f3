/** Loads versions from the platform: small changes first, the whole if need be. */
import {type Platform} from '../platform/platform.js';
import {
	decodeDelta, headKey, historyKey, historyPrefix, objectName, parseVersionRecord, type VersionRecord,
} from './configuration-records.js';
import {SectionCorruptError} from './configuration-errors.js';
import {
	applyDelta, emptySectionSet, mergeDeltas, type SectionDelta, type SectionSet,
} from './section-set.js';

/** A version with its sections and what led to it. */
export type LoadedConfiguration = {
	version: number;
	set: SectionSet;
	/** The delta from the version before it, and that version. */
	fromVersion: number;
	delta: SectionDelta;
};

/** The head as the table holds it. */
export type StoredHead = {
	record: VersionRecord;
	/** Version of the row, for conditional writes. */
	rowVersion: number;
};

/** Options of {@link createConfigurationLoader}. */
export type ConfigurationLoaderOptions = {
	platform: Pick<Platform, 'table' | 'objects'>;
};

/** A set that is held already, to start from. */
export type HeldConfiguration = {
	version: number;
	set: SectionSet;
};

/** Reads what proposals wrote. Every method throws `PlatformUnavailableError`. */
export type ConfigurationLoader = {
	/** `undefined` before the first version. */
	readHead: () => Promise<StoredHead | undefined>;
	/** The record of one version; `undefined` when it is not kept or never was. */
	readRecord: (version: number) => Promise<VersionRecord | undefined>;
	/** Records after `version`, oldest first, at most `limit`. */
	listRecords: (version: number, limit: number) => Promise<VersionRecord[]>;
	/** Loads the version of a record, starting from what is held where that is nearer. */
	load: (record: VersionRecord, held?: HeldConfiguration) => Promise<LoadedConfiguration>;
};

/** A daemon that is further behind than this loads the whole instead. */
const longestDeltaChain = 64;

/** Creates the reading side of the configuration. */
export function createConfigurationLoader(options: ConfigurationLoaderOptions): ConfigurationLoader {
	const {table, objects} = options.platform;

	async function fetchDelta(digest: string): Promise<SectionDelta> {
		const content = await objects.get(objectName(digest));
		if (content === undefined) {
			throw new SectionCorruptError(`The object ${objectName(digest)} is missing.`);
		}

		return decodeDelta(digest, content);
	}

	async function listRecords(version: number, limit: number): Promise<VersionRecord[]> {
		const rows = await table.list({prefix: historyPrefix, after: historyKey(version), limit});
		return rows.map(row => parseVersionRecord(row.value));
	}

	/** Deltas from after `version` up to the record's. */
	async function fetchChain(version: number, record: VersionRecord): Promise<SectionDelta[]> {
		const deltas: SectionDelta[] = [];
		const length = record.version - version;
		if (length === 0) {
			return [];
		}

		const records = length === 1 ? [record] : await listRecords(version, length);
		for (const step of records) {
			if (step.version !== version + deltas.length + 1) {
				throw new SectionCorruptError(`The history of version ${record.version} has a hole after version ${version + deltas.length}.`);
			}

			deltas.push(await fetchDelta(step.delta));
		}

		return deltas;
	}

	return {
		async readHead() {
			const row = await table.get(headKey);
			return row && {record: parseVersionRecord(row.value), rowVersion: row.version};
		},
		async readRecord(version) {
			const row = await table.get(historyKey(version));
			return row && parseVersionRecord(row.value);
		},
		listRecords,
		async load(record, held) {
			const near = held !== undefined && held.version <= record.version && record.version - held.version <= longestDeltaChain;
			if (near) {
				const delta = mergeDeltas(await fetchChain(held.version, record));
				const set = applyDelta(held.set, delta, record.root);
				return {
					version: record.version, set, fromVersion: held.version, delta,
				};
			}

			const base = await fetchDelta(record.base);
			const chain = await fetchChain(record.baseVersion, record);
			const delta = mergeDeltas([base, ...chain]);
			const set = applyDelta(emptySectionSet, delta, record.root);
			return {
				version: record.version, set, fromVersion: 0, delta,
			};
		},
	};
}
