/**
 * Snapshots in the object store, for a start at which no peer can answer.
 * Each is a new object; the last few are kept, so that a damaged one, or one
 * of a newer layout, leaves the one before.
 */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {type SnapshotPart, SnapshotSchema} from '../../gen/hickorywalk/v1/recovery_pb.js';
import {type ObjectClient} from '../platform/platform.js';
import {isSound} from './recovery-part.js';

/** Prefix of the snapshots; the rest of a name is a number that grows. */
export const snapshotPrefix = 'recovery/snapshots/';

const snapshotLayout = 1;
const numberDigits = 12;
const snapshotsKept = 3;

/** Reads and writes snapshots. Every method throws `PlatformUnavailableError`. */
export type SnapshotStore = {
	/** Writes a new snapshot and removes old ones. */
	write: (parts: SnapshotPart[]) => Promise<void>;
	/** The wanted parts, each from the newest snapshot in which it is sound and readable by this build. */
	read: (wanted: readonly string[]) => Promise<SnapshotPart[]>;
};

/** Creates the store over the platform's objects. */
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
			// A writer that lost its duty without knowing may race for the name; either snapshot will do.
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
		return snapshot.layout > snapshotLayout ? [] : snapshot.parts.filter(part => isSound(part));
	} catch {
		// No snapshot at all: the one before is read instead.
		return [];
	}
}
