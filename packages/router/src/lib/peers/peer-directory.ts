/**
 * Peer discovery: each daemon writes its report address to the store and polls those of
 * the others.
 */
import {z} from 'zod';
import {type Log} from '../observability/log.js';
import {type TableClient} from '../platform/platform.js';

const prefix = 'daemons/';

const entrySchema = z.object({address: z.string(), incarnation: z.number()});

/** Options of {@link createPeerDirectory}; durations in milliseconds. */
export type PeerDirectoryOptions = {
	name: string;
	incarnation: number;
	/** IP:PORT at which this daemon receives reports. */
	address: string;
	table: TableClient;
	/** Poll interval; evaluated after each poll. */
	everyMs: () => number;
	onPeer: (name: string, address: string) => void;
	/** Returns a number in [0, 1). */
	random: () => number;
	log: Log;
};

/** The directory. */
export type PeerDirectory = {
	start: () => void;
	/** The store may have lost entries: polls within a few seconds, spread over the daemons. */
	entriesLost: () => void;
	/** Removes this daemon's entry on a planned stop. */
	leave: () => Promise<void>;
};

const retryMs = 500;

/** Time within which the daemons poll after entries may have been lost. */
const lostEntriesPollMs = 3000;

/** Creates the directory; it makes no calls until started. */
export function createPeerDirectory(options: PeerDirectoryOptions): PeerDirectory {
	const {table, name, log} = options;
	const key = prefix + name;
	const value = JSON.stringify({address: options.address, incarnation: options.incarnation});
	let isListed = false;
	let timer: NodeJS.Timeout | undefined;
	let isClosed = false;

	const write = async (): Promise<void> => {
		await table.transact([{key, value}]);
	};

	const parse = (text: string): z.infer<typeof entrySchema> | undefined => {
		try {
			return entrySchema.parse(JSON.parse(text));
		} catch (error) {
			log.warn('Peer directory holds an invalid entry.', {err: error});
			return undefined;
		}
	};

	/** Passes on the entries of peers; resolves to whether this daemon's own entry is listed. */
	const read = async (): Promise<boolean> => {
		let isOwnListed = false;
		for (const row of await table.list({prefix})) {
			if (row.key === key) {
				isOwnListed = row.value === value;
				continue;
			}

			const entry = parse(row.value);
			if (entry !== undefined) {
				options.onPeer(row.key.slice(prefix.length), entry.address);
			}
		}

		return isOwnListed;
	};

	const schedule = (delayMs: number): void => {
		clearTimeout(timer);
		if (!isClosed) {
			timer = setTimeout(() => {
				void poll();
			}, delayMs);
		}
	};

	const poll = async (): Promise<void> => {
		let pauseMs = options.everyMs();
		try {
			// Before the read, so that of two daemons that start together one finds the other.
			if (!isListed) {
				await write();
			}

			isListed = await read();
			if (!isListed) {
				await write();
			}
		} catch (error) {
			log.debug('Peer directory could not be read or written.', {err: error});
			pauseMs = retryMs;
		}

		schedule(pauseMs);
	};

	return {
		start() {
			void poll();
		},
		entriesLost() {
			schedule(options.random() * lostEntriesPollMs);
		},
		async leave() {
			isClosed = true;
			clearTimeout(timer);
			try {
				await table.transact([{key, value: null}]);
			} catch (error) {
				log.debug('Own entry could not be removed from the peer directory; peers forget this daemon after a period of silence.', {err: error});
			}
		},
	};
}
