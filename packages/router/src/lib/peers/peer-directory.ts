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
	log: Log;
};

/** The directory. */
export type PeerDirectory = {
	start: () => void;
	/** Removes this daemon's entry on a planned stop. */
	leave: () => Promise<void>;
};

const retryMs = 500;

/** Creates the directory; it makes no calls until started. */
export function createPeerDirectory(options: PeerDirectoryOptions): PeerDirectory {
	const {table, name, log} = options;
	const key = prefix + name;
	let isWritten = false;
	let timer: NodeJS.Timeout | undefined;
	let isClosed = false;

	const write = async (): Promise<void> => {
		await table.transact([{key, value: JSON.stringify({address: options.address, incarnation: options.incarnation})}]);
		isWritten = true;
	};

	const parse = (value: string): z.infer<typeof entrySchema> | undefined => {
		try {
			return entrySchema.parse(JSON.parse(value));
		} catch (error) {
			log.warn('Peer directory holds an invalid entry.', {err: error});
			return undefined;
		}
	};

	const read = async (): Promise<void> => {
		for (const row of await table.list({prefix})) {
			const entry = row.key === key ? undefined : parse(row.value);
			if (entry !== undefined) {
				options.onPeer(row.key.slice(prefix.length), entry.address);
			}
		}
	};

	const poll = async (): Promise<void> => {
		let pauseMs = options.everyMs();
		try {
			if (!isWritten) {
				await write();
			}

			await read();
		} catch (error) {
			log.debug('Peer directory could not be read or written.', {err: error});
			pauseMs = retryMs;
		}

		if (!isClosed) {
			timer = setTimeout(() => {
				void poll();
			}, pauseMs);
		}
	};

	return {
		start() {
			void poll();
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
