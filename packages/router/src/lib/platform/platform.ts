/**
 * Interfaces of the platform: a transactional table, an object store, a weight
 * store and a list of VMs that lags behind the actual state. The library depends
 * only on these interfaces; `http-platform.ts` implements them, and tests use
 * fakes.
 */

/** One row of the table service. */
export type TableRow = {
	/** At most 512 characters; rows are listed in key order. */
	key: string;
	/** At most 64 KiB of text, JSON by convention. */
	value: string;
	/** Grows with every write of this key, and is not reset by a delete. */
	version: number;
};

/** One write of a transaction. */
export type TableWrite = {
	key: string;
	/** The new value; `null` deletes the row. */
	value: string | null;
	/** Commits only if the row has this version; 0 means that it must be absent. */
	ifVersion?: number;
};

/** Result of a transaction. Either all its writes were applied or none. */
export type TransactionResult
	= | {committed: true; versions: Record<string, number>}
		| {committed: false; conflicts: Array<{key: string; version: number}>};

/** The rows to list. */
export type TableRange = {
	/** Only keys that start with this. */
	prefix: string;
	/** Only keys after this one. */
	after?: string;
	/** At most this many rows; 1,000 by default, which is also the most. */
	limit?: number;
};

/** The table service. Every method may reject with `PlatformUnavailableError`. */
export type TableClient = {
	get: (key: string) => Promise<TableRow | undefined>;
	list: (range: TableRange) => Promise<TableRow[]>;
	/** Conditional writes, at most 25 in one transaction. */
	transact: (writes: TableWrite[]) => Promise<TransactionResult>;
	/**
	 * Rises when the table comes back from an older copy, so that writes which it had confirmed
	 * may be lost; 0 until a response has stated it. Absent for a table that loses nothing.
	 */
	generation?: () => number;
};

/** The object store. Every method may reject with `PlatformUnavailableError`. */
export type ObjectClient = {
	/** Resolves to false when `ifAbsent` is set and the object already exists. */
	put: (name: string, content: Uint8Array, options?: {ifAbsent?: boolean}) => Promise<boolean>;
	get: (name: string) => Promise<Uint8Array | undefined>;
	list: (prefix: string) => Promise<string[]>;
	remove: (name: string) => Promise<void>;
};

/** Weights of one model version, as the weight store knows them. */
export type WeightInfo = {
	model: string;
	version: string;
	adapters: string[];
	bytes: number;
};

/** The rate-limited weight store. */
export type WeightClient = {
	list: () => Promise<WeightInfo[]>;
};

/** One VM in the platform's list, which lags behind the actual state. */
export type VmEntry = {
	name: string;
	/** `entry` runs this project's daemon, `endpoint` an endpoint. */
	role: 'entry' | 'endpoint';
	dataCentre: string;
	address: string;
	state: 'live' | 'leaving';
};

/** The VM list with the version that the platform gave it. */
export type VmList = {
	version: number;
	vms: VmEntry[];
};

/** The lagging list of live and leaving VMs. */
export type VmListClient = {
	read: () => Promise<VmList>;
};

/** The platform as a whole. */
export type Platform = {
	table: TableClient;
	objects: ObjectClient;
	weights: WeightClient;
	vms: VmListClient;
};
