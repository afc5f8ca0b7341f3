/**
 * Rows and objects of the configuration in the platform's services. Objects are
 * named by their SHA-256 and written before the table refers to them; the head
 * and the history row of a version are written in one transaction.
 *
 * - table `configuration/head`: the accepted version ({@link VersionRecord}).
 * - table `configuration/history/VERSION`: one {@link VersionRecord} for each version.
 * - object `configuration/DIGEST`: a {@link SectionDelta} as JSON.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {SectionCorruptError} from './configuration-errors.js';
import {type SectionDelta} from './section-set.js';

/** Key of the row whose conditional write decides between concurrent proposals. */
export const headKey = 'configuration/head';

/** Prefix of the history rows, which record who changed what. */
export const historyPrefix = 'configuration/history/';

const versionDigits = 12;

/** Key of a version's history row, zero-padded so that rows list in the order of versions. */
export function historyKey(version: number): string {
	return `${historyPrefix}${String(version).padStart(versionDigits, '0')}`;
}

const versionRecordSchema = z.object({
	version: z.number().int().positive(),
	/** Digest of all sections of the version. */
	root: z.string(),
	/** Digest of the object with the changes since the previous version. */
	delta: z.string(),
	/** The newest version, up to this one, whose full document is stored. */
	baseVersion: z.number().int().positive(),
	/** Digest of the object with all sections of the base version. */
	base: z.string(),
	/** Identifies the write attempt, so that its outcome can be determined after a lost answer. */
	token: z.string(),
	/** Operator who requested the change. */
	who: z.string(),
	/** Time of the change in milliseconds since the epoch, by the proposing daemon's clock. */
	at: z.number(),
	/** Names of the first changed sections, for display. */
	sections: z.array(z.string()),
});

const deltaRecordSchema = z.object({
	changed: z.record(z.string(), z.string()),
	removed: z.array(z.string()),
});

/** One accepted version, as its history row stores it; the head row holds the newest. */
export type VersionRecord = z.infer<typeof versionRecordSchema>;

/** Parses the value of a head or history row. */
export function parseVersionRecord(value: string): VersionRecord {
	return versionRecordSchema.parse(JSON.parse(value));
}

/** An encoded delta with its object name. */
export type DeltaObject = {
	digest: string;
	name: string;
	content: Uint8Array;
};

/** Encodes a delta as an object whose name is derived from its content. */
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
 * @throws {SectionCorruptError} when the content does not match the digest.
 */
export function decodeDelta(digest: string, content: Uint8Array): SectionDelta {
	if (digestOf(content) !== digest) {
		throw new SectionCorruptError(`The object ${objectName(digest)} is damaged. Put it back from another version's base.`);
	}

	const record = deltaRecordSchema.parse(JSON.parse(Buffer.from(content).toString('utf8')));
	return {changed: new Map(Object.entries(record.changed)), removed: record.removed};
}

/** Returns the name of the object with this digest. */
export function objectName(digest: string): string {
	return `configuration/${digest}`;
}

function digestOf(content: Uint8Array): string {
	return createHash('sha256').update(content).digest('hex');
}
