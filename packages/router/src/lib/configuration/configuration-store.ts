/**
 * Accepts changes. The head row in the table is written by compare-and-set and
 * decides between concurrent operators; the objects that it refers to are
 * written before it. An accepted version is never revoked, only superseded.
 */
import {randomUUID} from 'node:crypto';
import {PlatformUnavailableError} from '../platform/platform-errors.js';
import {type Platform, type TransactionResult} from '../platform/platform.js';
import {type AcceptedDocument, documentLayout, type FleetDocument} from './document.js';
import {
	ConfigurationConflictError, ConfigurationMinorityError, ConfigurationOutcomeUnknownError, ConfigurationUnavailableError, DocumentTooNewError,
} from './configuration-errors.js';
import {
	type ConfigurationLoader, createConfigurationLoader, type HeldConfiguration, type StoredHead,
} from './configuration-loader.js';
import {
	encodeDelta, headKey, historyKey, type VersionRecord,
} from './configuration-records.js';
import {differenceOf} from './document-difference.js';
import {parseDocument} from './parse-document.js';
import {
	applyDelta, deltaTo, emptySectionSet, type SectionSet, fullDelta,
} from './section-set.js';

/** How many of the listed daemons this one receives heartbeats from, itself included. */
export type Reach = {
	heard: number;
	listed: number;
	/** The highest version that any of them reported to be in force; 0 when unknown. */
	newestVersion?: number;
};

/** Options of {@link createConfigurationStore}. */
export type ConfigurationStoreOptions = {
	platform: Pick<Platform, 'table' | 'objects'>;
	/** A change is refused unless this daemon receives heartbeats from more than half; not checked when absent. */
	reach?: () => Reach;
	/** The lowest of the newest layouts that the daemons in service support; this build's own by default. */
	oldestLayout?: () => number;
	/** Creates the token of an attempt; random by default. */
	createToken?: () => string;
	/** Number of versions after which the full document is stored again; 16 by default. */
	versionsPerBase?: number;
	/** Number of history rows kept; 10,000 by default. */
	versionsKept?: number;
};

/** Options of {@link ConfigurationStore.propose}. */
export type ProposalOptions = {
	/** The version that the document is based on; 0 for the first. */
	expectedVersion: number;
	/** Operator who requests the change, for the history. */
	who: string;
};

/** Writes and reads accepted versions. */
export type ConfigurationStore = ConfigurationLoader & {
	/**
	 * Accepts a document as the next version. Accepted means durably written, not
	 * yet in force on every daemon: see `summariseConfirmations`.
	 *
	 * @throws {DocumentInvalidError} when the document is invalid.
	 * @throws {DocumentTooNewError} when some daemon does not support its layout.
	 * @throws {ConfigurationConflictError} when another change was accepted first.
	 * @throws {ConfigurationMinorityError} when this daemon receives heartbeats from no majority.
	 * @throws {ConfigurationUnavailableError} when the platform is unreachable and nothing was accepted.
	 * @throws {ConfigurationOutcomeUnknownError} when the answer to the write was lost and the outcome could not be determined.
	 */
	propose: (document: unknown, options: ProposalOptions) => Promise<AcceptedDocument>;
	/** The accepted document; `undefined` before the first. */
	read: () => Promise<AcceptedDocument | undefined>;
	/**
	 * Returns the outcome of an attempt whose answer was lost. `unknown` means that
	 * the version does not exist yet, so that a delayed write may still create it.
	 */
	outcomeOf: (version: number, token: string) => Promise<'accepted' | 'refused' | 'unknown'>;
};

const defaultVersionsPerBase = 16;
const defaultVersionsKept = 10_000;
const maxCommitAttempts = 4;
const maxListedSections = 20;

/**
 * Creates the store of accepted configurations.
 *
 * @example
 * const store = createConfigurationStore({platform});
 * const {version} = await store.propose(document, {expectedVersion: 4, who: 'ana'});
 */
export function createConfigurationStore(options: ConfigurationStoreOptions): ConfigurationStore {
	const {table, objects} = options.platform;
	const loader = createConfigurationLoader(options);
	const createToken = options.createToken ?? randomUUID;
	const versionsPerBase = options.versionsPerBase ?? defaultVersionsPerBase;
	const versionsKept = options.versionsKept ?? defaultVersionsKept;
	let newestLoaded: HeldConfiguration = {version: 0, set: emptySectionSet};

	async function loadSet(record: VersionRecord | undefined): Promise<SectionSet> {
		if (record === undefined) {
			return emptySectionSet;
		}

		const {version, set} = await loader.load(record, newestLoaded.version === 0 ? undefined : newestLoaded);
		if (version > newestLoaded.version) {
			newestLoaded = {version, set};
		}

		return set;
	}

	async function createConflictError(document: FleetDocument, expectedVersion: number, head: VersionRecord | undefined): Promise<ConfigurationConflictError> {
		const current = await loadSet(head);
		const theirs = await changesSince(expectedVersion, current);
		return new ConfigurationConflictError(expectedVersion, head?.version ?? 0, theirs, differenceOf(current.document, document));
	}

	async function changesSince(version: number, current: SectionSet) {
		const record = version === 0 ? undefined : await loader.readRecord(version);
		if (record === undefined) {
			return [];
		}

		const before = await loader.load(record);
		return differenceOf(before.set.document, current.document);
	}

	/** Writes the objects of the next version and returns its record. */
	async function prepare(document: FleetDocument, head: StoredHead | undefined, who: string): Promise<VersionRecord> {
		const before = await loadSet(head?.record);
		const delta = deltaTo(before, document);
		const after = applyDelta(before, delta);
		const version = (head?.record.version ?? 0) + 1;
		const deltaObject = encodeDelta(delta);
		await objects.put(deltaObject.name, deltaObject.content, {ifAbsent: true});
		const base = await prepareBase(version, after, head?.record);
		return {
			version,
			root: after.root,
			delta: deltaObject.digest,
			...base,
			token: createToken(),
			who,
			at: Date.now(),
			sections: [...delta.changed.keys(), ...delta.removed].slice(0, maxListedSections),
		};
	}

	async function prepareBase(version: number, set: SectionSet, head: VersionRecord | undefined): Promise<Pick<VersionRecord, 'base' | 'baseVersion'>> {
		if (head !== undefined && version - head.baseVersion < versionsPerBase) {
			return {base: head.base, baseVersion: head.baseVersion};
		}

		const baseObject = encodeDelta(fullDelta(set));
		await objects.put(baseObject.name, baseObject.content, {ifAbsent: true});
		return {base: baseObject.digest, baseVersion: version};
	}

	async function write(record: VersionRecord, rowVersion: number): Promise<TransactionResult> {
		const value = JSON.stringify(record);
		const prunedVersion = record.version - versionsKept;
		return table.transact([
			{key: headKey, value, ifVersion: rowVersion},
			{key: historyKey(record.version), value},
			...(prunedVersion > 0 ? [{key: historyKey(prunedVersion), value: null}] : []),
		]);
	}

	/**
	 * Writes the head and resolves a lost answer by retrying. The write is
	 * conditional on the version of the head row, so that of all attempts with this
	 * token at most one takes effect: a retry either commits or finds that the row
	 * has changed, and then the token in the version's history row shows whose
	 * write succeeded.
	 */
	async function commit(record: VersionRecord, rowVersion: number): Promise<'accepted' | 'refused'> {
		let lastError: unknown;
		let answerLost = false;
		for (let attempt = 0; attempt < maxCommitAttempts; attempt++) {
			try {
				const result = await write(record, rowVersion);
				if (result.committed) {
					return 'accepted';
				}

				const outcome = answerLost ? await outcomeOf(record.version, record.token) : 'refused';
				if (outcome !== 'unknown') {
					return outcome;
				}
			} catch (error) {
				if (!(error instanceof PlatformUnavailableError)) {
					throw error;
				}

				lastError = error;
				answerLost ||= error.maybeApplied;
			}
		}

		throw answerLost
			? new ConfigurationOutcomeUnknownError(record.version, record.token, {cause: lastError})
			: new ConfigurationUnavailableError('The table could not be reached. Nothing was changed; try again.', {cause: lastError});
	}

	async function outcomeOf(version: number, token: string): Promise<'accepted' | 'refused' | 'unknown'> {
		const record = await loader.readRecord(version);
		if (record === undefined) {
			return 'unknown';
		}

		return record.token === token ? 'accepted' : 'refused';
	}

	function checkProposal(input: unknown): FleetDocument {
		const document = parseDocument(input);
		const oldest = options.oldestLayout?.() ?? documentLayout;
		if (document.layout > oldest) {
			throw new DocumentTooNewError(`The document has layout ${document.layout}, but some daemon knows only up to ${oldest}. Upgrade every daemon first.`);
		}

		const reach = options.reach?.();
		if (reach !== undefined && reach.heard * 2 <= reach.listed) {
			throw new ConfigurationMinorityError(reach.heard, reach.listed);
		}

		return document;
	}

	async function propose(document: FleetDocument, {expectedVersion, who}: ProposalOptions): Promise<AcceptedDocument> {
		const head = await loader.readHead();
		if ((head?.record.version ?? 0) !== expectedVersion) {
			throw await createConflictError(document, expectedVersion, head?.record);
		}

		const record = await prepare(document, head, who);
		if (await commit(record, head?.rowVersion ?? 0) === 'accepted') {
			return {version: record.version, document};
		}

		const current = await loader.readHead();
		throw await createConflictError(document, expectedVersion, current?.record);
	}

	return {
		...loader,
		outcomeOf,
		async propose(input, proposal) {
			const document = checkProposal(input);
			try {
				return await propose(document, proposal);
			} catch (error) {
				if (!(error instanceof PlatformUnavailableError)) {
					throw error;
				}

				// `commit` resolves the write that decides; a failure outside of it has created no version.
				throw new ConfigurationUnavailableError('The platform could not be reached. This change was not accepted; try again.', {cause: error});
			}
		},
		async read() {
			const head = await loader.readHead();
			if (head === undefined) {
				return undefined;
			}

			const {document} = await loadSet(head.record);
			return {version: head.record.version, document};
		},
	};
}
