/**
 * Snapshots in the object store, for a start when no peer can answer. Each is a
 * new object and the last few are kept, so that when one is damaged or has a
 * newer layout, the one before it can be used.
 */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {type SnapshotPart, SnapshotSchema} from '../../gen/hickorywalk/v1/recovery_pb.js';
import {type ObjectClient} from '../platform/platform.js';
import {hasValidChecksum} from './recovery-part.js';

/** Prefix of snapshot names; it is followed by an increasing number. */
export const snapshotPrefix = 'recovery/snapshots/';

const snapshotLayout = 1;
const numberDigits = 12;
const snapshotsKept = 3;

/** Reads and writes snapshots. Every method may reject with `PlatformUnavailableError`. */
export type SnapshotStore = {
	/** Writes a new snapshot and removes old ones. */
	write: (parts: SnapshotPart[]) => Promise<void>;
	/** Returns the wanted parts, each from the newest snapshot whose layout this build supports and in which its checksum is valid. */
	read: (wanted: readonly string[]) => Promise<SnapshotPart[]>;
};

/** Creates the snapshot store on top of the platform's object store. */
export function createSnapshotStore(objects: ObjectClient): SnapshotStore {
	async function listNames(): Promise<string[]> {
		const names = await objects.list(snapshotPrefix);
		return names.toSorted();
	}

	return {
		async write(parts) {
			const names = await listNames();
			const last = Number(names.at(-1)?.slice(snapshotPrefix.length) ?? 0);
			const name = `${snapshotPrefix}${String(last + 1).padStart(numberDigits, '0')}`;
			const content = toBinary(SnapshotSchema, create(SnapshotSchema, {layout: snapshotLayout, parts}));
			// A daemon that lost the duty without noticing may write the same name; either snapshot is fine.
			await objects.put(name, content, {ifAbsent: true});
			for (const old of names.slice(0, Math.max(0, names.length + 1 - snapshotsKept))) {
				await objects.remove(old);
			}
		},
		async read(wanted) {
			const found = new Map<string, SnapshotPart>();
			const names = await listNames();
			for (const name of names.toReversed()) {
				const content = await objects.get(name);
				for (const part of content === undefined ? [] : decode(content)) {
					found.set(part.name, found.get(part.name) ?? part);
				}

				if (wanted.every(part => found.has(part))) {
					break;
				}
			}

			return [...found.values()];
		},
	};
}

function decode(content: Uint8Array): SnapshotPart[] {
	try {
		const snapshot = fromBinary(SnapshotSchema, content);
		return snapshot.layout > snapshotLayout ? [] : snapshot.parts.filter(part => hasValidChecksum(part));
	} catch {
		// Not decodable; the previous snapshot is read instead.
		return [];
	}
}
