/** Loads versions from the platform, by deltas where possible and from a full base otherwise. */
import {type Platform} from '../platform/platform.js';
import {
	decodeDelta, headKey, historyKey, historyPrefix, objectName, parseVersionRecord, type VersionRecord,
} from './configuration-records.js';
import {SectionCorruptError} from './configuration-errors.js';
import {
	applyDelta, emptySectionSet, mergeDeltas, type SectionDelta, type SectionSet,
} from './section-set.js';

/** A version with its sections and the delta that was applied to get there. */
export type LoadedConfiguration = {
	version: number;
	set: SectionSet;
	/** The version that `delta` starts from; 0 when it holds all sections. */
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

/** A version with its sections, as a daemon has it in memory. */
export type HeldConfiguration = {
	version: number;
	set: SectionSet;
};

/** Reads accepted versions. Every method throws `PlatformUnavailableError` when the platform is unreachable. */
export type ConfigurationLoader = {
	/** `undefined` before the first version. */
	readHead: () => Promise<StoredHead | undefined>;
	/** The record of one version; `undefined` when it is no longer kept or never existed. */
	readRecord: (version: number) => Promise<VersionRecord | undefined>;
	/** Records after `version`, oldest first, at most `limit`. */
	listRecords: (version: number, limit: number) => Promise<VersionRecord[]>;
	/** Loads the version of a record, starting from `held` unless that is too far behind, else from the base. */
	load: (record: VersionRecord, held?: HeldConfiguration) => Promise<LoadedConfiguration>;
};

/** Number of versions behind beyond which a daemon loads the full base instead. */
const maxDeltaChainLength = 64;

/** Creates a loader of accepted versions. */
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

	/** Fetches the deltas after `version` up to and including the version of `record`. */
	async function fetchChain(version: number, record: VersionRecord): Promise<SectionDelta[]> {
		const deltas: SectionDelta[] = [];
		const length = record.version - version;
		if (length === 0) {
			return [];
		}

		const records = length === 1 ? [record] : await listRecords(version, length);
		for (const step of records) {
			if (step.version !== version + deltas.length + 1) {
				throw new SectionCorruptError(`The history of version ${record.version} lacks the record after version ${version + deltas.length}.`);
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
			const isHeldCloseEnough = held !== undefined && held.version <= record.version && record.version - held.version <= maxDeltaChainLength;
			if (isHeldCloseEnough) {
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
