/** Parts of a daemon's state that it recovers from peers or snapshots after a restart. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {z} from 'zod';
import {type SnapshotPart, SnapshotPartSchema} from '../../gen/hickorywalk/v1/recovery_pb.js';
import {type ConfigurationFollower} from '../configuration/configuration-follower.js';
import {applyDelta, emptySectionSet, fullDelta} from '../configuration/section-set.js';

/** One part of a daemon's state, owned by the component that creates it. */
export type RecoveryPart = {
	/** Such as `configuration` or `routing`. */
	name: string;
	/** The part in its owner's encoding; `undefined` while there is nothing to share. */
	exportContent: () => Uint8Array | undefined;
	/** Whether the daemon already has the part from elsewhere than recovery; then recovery does not wait for it. */
	isKnown?: () => boolean;
	/** Imports the part. When it throws, another source is tried. */
	importContent: (content: Uint8Array) => void;
};

/** Creates a part with the checksum of its content. */
export function createSnapshotPart(requestId: string, name: string, content: Uint8Array): SnapshotPart {
	return create(SnapshotPartSchema, {
		requestId, name, content, checksum: checksumOf(content),
	});
}

/** Whether the content matches its checksum. */
export function hasValidChecksum(part: SnapshotPart): boolean {
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
 * Creates the part of the configuration. Importing it activates a version but does
 * not prove that it is the newest: only the table or the heads of peers do.
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
				sections: Object.fromEntries(fullDelta(held.set).changed),
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
