/** The parts of a daemon's knowledge that survive its restart in others. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {z} from 'zod';
import {type SnapshotPart, SnapshotPartSchema} from '../../gen/hickorywalk/v1/recovery_pb.js';
import {type ConfigurationFollower} from '../configuration/configuration-follower.js';
import {applyDelta, emptySectionSet, wholeDelta} from '../configuration/section-set.js';

/** One part of what a daemon knows, owned by the component that made it. */
export type RecoveryPart = {
	/** Such as `configuration` or `routing`. */
	name: string;
	/** The part in an encoding of its owner; `undefined` while there is nothing worth passing on. */
	exportContent: () => Uint8Array | undefined;
	/** Whether the daemon has it already, by another way than recovery; then it is not waited for. */
	isKnown?: () => boolean;
	/** Takes the part in; it throws when it can't, and then another source is asked. */
	importContent: (content: Uint8Array) => void;
};

/** Wraps a content with its checksum. */
export function sealPart(requestId: string, name: string, content: Uint8Array): SnapshotPart {
	return create(SnapshotPartSchema, {
		requestId, name, content, checksum: checksumOf(content),
	});
}

/** Whether the content is what was sealed. */
export function isSound(part: SnapshotPart): boolean {
	return Buffer.compare(part.checksum, checksumOf(part.content)) === 0;
}

function checksumOf(content: Uint8Array): Uint8Array {
	return createHash('sha256').update(content).digest();
}

const configurationSchema = z.object({
	version: z.number().int().positive(),
	root: z.string(),
	sections: z.record(z.string(), z.string()),
});

/**
 * The configuration as a part. It brings a version into force but never proves
 * that it is the newest: that comes from the table or from peers' heads.
 */
export function createConfigurationPart(follower: Pick<ConfigurationFollower, 'held' | 'adopt'>): RecoveryPart {
	return {
		name: 'configuration',
		isKnown: () => follower.held() !== undefined,
		exportContent() {
			const held = follower.held();
			return held && Buffer.from(JSON.stringify({
				version: held.version,
				root: held.set.root,
				sections: Object.fromEntries(wholeDelta(held.set).changed),
			}));
		},
		importContent(content) {
			const {version, root, sections} = configurationSchema.parse(JSON.parse(Buffer.from(content).toString('utf8')));
			if (version > (follower.held()?.version ?? 0)) {
				follower.adopt(version, applyDelta(emptySectionSet, {changed: new Map(Object.entries(sections)), removed: []}, root));
			}
		},
	};
}
