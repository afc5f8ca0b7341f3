/** In-memory table and object store with optional fault injection. */
import {PlatformUnavailableError} from '../../lib/platform/platform-errors.js';
import {type Platform, type TableRow, type TableWrite} from '../../lib/platform/platform.js';

/** `down`: the call fails without effect. `lost`: the call takes effect, but its answer is lost. */
export type Fault = 'none' | 'down' | 'lost';

export type CallKind = 'read' | 'write';

export type FakePlatformOptions = {
	/** Chooses the fault of each call. */
	fault?: (kind: CallKind) => Fault;
	/** Duration of each call in milliseconds. */
	delayMs?: () => number;
};

export type FakePlatform = Pick<Platform, 'table' | 'objects'> & {
	rows: Map<string, TableRow>;
	blobs: Map<string, Uint8Array>;
	reads: number;
	writes: number;
	setFault: (fault: (kind: CallKind) => Fault) => void;
	/** Access to the same rows and objects with separate fault injection. */
	withFaults: (fault: (kind: CallKind) => Fault) => Pick<Platform, 'table' | 'objects'>;
};

const pause = async (ms: number) => new Promise<void>(resolve => {
	setTimeout(resolve, ms);
});

export function createFakePlatform(options: FakePlatformOptions = {}): FakePlatform {
	const rows = new Map<string, TableRow>();
	const blobs = new Map<string, Uint8Array>();
	const versions = new Map<string, number>();
	let fault = options.fault ?? (() => 'none');

	function transact(writes: TableWrite[]) {
		const conflicts = writes.filter(write => write.ifVersion !== undefined && write.ifVersion !== (rows.get(write.key)?.version ?? 0));
		if (conflicts.length > 0) {
			return {committed: false as const, conflicts: conflicts.map(({key}) => ({key, version: rows.get(key)?.version ?? 0}))};
		}

		const written: Record<string, number> = {};
		for (const {key, value} of writes) {
			const version = (versions.get(key) ?? 0) + 1;
			versions.set(key, version);
			written[key] = version;
			if (value === null) {
				rows.delete(key);
			} else {
				rows.set(key, {key, value, version});
			}
		}

		return {committed: true as const, versions: written};
	}

	function withFaults(chooseFault: (kind: CallKind) => Fault): Pick<Platform, 'table' | 'objects'> {
		async function call<Result>(kind: CallKind, run: () => Result): Promise<Result> {
			platform[kind === 'read' ? 'reads' : 'writes']++;
			const chosenFault = chooseFault(kind);
			const delay = options.delayMs?.() ?? 0;
			await (delay > 0 ? pause(delay) : undefined);
			if (chosenFault === 'down') {
				throw new PlatformUnavailableError('down', false);
			}

			const result = run();
			if (chosenFault === 'lost') {
				throw new PlatformUnavailableError('lost', kind === 'write');
			}

			return result;
		}

		return {
			table: {
				get: async key => call('read', () => rows.get(key)),
				list: async ({prefix, after, limit}) => call('read', () => [...rows.values()]
					.filter(row => row.key.startsWith(prefix) && (after === undefined || row.key > after))
					.toSorted((a, b) => a.key < b.key ? -1 : 1)
					.slice(0, limit ?? 1000)),
				transact: async writes => call('write', () => transact(writes)),
			},
			objects: {
				put: async (name, content, putOptions) => call('write', () => {
					if (putOptions?.ifAbsent && blobs.has(name)) {
						return false;
					}

					blobs.set(name, content);
					return true;
				}),
				get: async name => call('read', () => blobs.get(name)),
				list: async prefix => call('read', () => [...blobs.keys()].filter(name => name.startsWith(prefix))),
				remove: async name => call('write', () => {
					blobs.delete(name);
				}),
			},
		};
	}

	const platform: FakePlatform = {
		rows,
		blobs,
		reads: 0,
		writes: 0,
		setFault(next) {
			fault = next;
		},
		withFaults,
		...withFaults(kind => fault(kind)),
	};
	return platform;
}
