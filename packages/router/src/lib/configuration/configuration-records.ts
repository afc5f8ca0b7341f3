/**
 * What the configuration keeps in the platform's services. Objects are named
 * by their SHA-256 and written before the table refers to them; the head and
 * the history row of a version are written in one transaction.
 *
 * - table `configuration/head`: the accepted version ({@link HeadRecord}).
 * - table `configuration/history/VERSION`: one row for each version.
 * - object `configuration/DIGEST`: a {@link DeltaRecord}.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {SectionCorruptError} from './configuration-errors.js';
import {type SectionDelta} from './section-set.js';

/** Key of the one row that arbitrates between proposals. */
export const headKey = 'configuration/head';

/** Prefix of the rows that tell who changed what. */
export const historyPrefix = 'configuration/history/';

const versionDigits = 12;

/** Key of a version's history row; rows are listed in the order of versions. */
export function historyKey(version: number): string {
	return `${historyPrefix}${String(version).padStart(versionDigits, '0')}`;
}

const versionRecordSchema = z.object({
	version: z.number().int().positive(),
	/** Digest of all sections of the version. */
	root: z.string(),
	/** Object with what changed since the version before. */
	delta: z.string(),
	/** The newest version, up to this one, of which the whole is stored. */
	baseVersion: z.number().int().positive(),
	/** Object with all sections of the base version. */
	base: z.string(),
	/** Names the writer's attempt, so that a lost answer can be settled. */
	token: z.string(),
	/** Who asked for the change. */
	who: z.string(),
	/** When, in milliseconds of the epoch by the proposing daemon's clock. */
	at: z.number(),
	/** Names of some changed sections, for people. */
	sections: z.array(z.string()),
});

const deltaRecordSchema = z.object({
	changed: z.record(z.string(), z.string()),
	removed: z.array(z.string()),
});

/** One accepted version, as its history row says; the head is the newest. */
export type VersionRecord = z.infer<typeof versionRecordSchema>;

/** Reads a head or history row. */
export function parseVersionRecord(value: string): VersionRecord {
	return versionRecordSchema.parse(JSON.parse(value));
}

/** A delta as an object, with its name. */
export type DeltaObject = {
	digest: string;
	name: string;
	content: Uint8Array;
};

/** Encodes a delta as an object that is named by its content. */
export function encodeDelta(delta: SectionDelta): DeltaObject {
	const content = Buffer.from(JSON.stringify({
		changed: Object.fromEntries(delta.changed),
		removed: delta.removed,
	}));
	const digest = digestOf(content);
	return {digest, name: objectName(digest), content};
}

/**
 * Decodes a delta object.
 *
 * @throws {SectionCorruptError} when the content is not what its name says.
 */
export function decodeDelta(digest: string, content: Uint8Array): SectionDelta {
	if (digestOf(content) !== digest) {
		throw new SectionCorruptError(`The object ${objectName(digest)} is damaged. Put it back from another version's base.`);
	}

	const record = deltaRecordSchema.parse(JSON.parse(Buffer.from(content).toString('utf8')));
	return {changed: new Map(Object.entries(record.changed)), removed: record.removed};
}

/** Name of the object with this digest. */
export function objectName(digest: string): string {
	return `configuration/${digest}`;
}

function digestOf(content: Uint8Array): string {
	return createHash('sha256').update(content).digest('hex');
}
