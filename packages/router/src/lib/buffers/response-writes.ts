/**
 * Bounds what waits to be sent to a slow receiver of a response. The runtime counts the bytes of its queue, but keeps
 * several objects for each write, which take far more memory than the bytes of a small one.
 */
import {type ServerResponse} from 'node:http';

/** The writes of one response. */
export type ResponseWrites = {
	/** Writes a part of the body; returns false if too much waits, until `onDrain` calls back. */
	write: (part: Uint8Array | string) => boolean;
	/** Calls back once, when what waits has been sent; never if the connection ends before. */
	onDrain: (listener: () => void) => void;
	/** Memory of what waits, in bytes. */
	unsentBytes: () => number;
};

/** Writes that may wait. */
const maxUnsentWrites = 32;

/** Memory of the objects that the runtime keeps for a write. */
const writeBytes = 512;

/** Creates the writes of a response whose head has yet to be sent or was just sent. */
export function createResponseWrites(res: ServerResponse): ResponseWrites {
	/** Upper bound on the writes that wait. */
	let unsentWrites = 0;

	return {
		write(part) {
			unsentWrites = res.writableLength === 0 ? 1 : unsentWrites + 1;
			return res.write(part) && unsentWrites < maxUnsentWrites;
		},
		onDrain(listener) {
			if (res.writableNeedDrain) {
				res.once('drain', listener);
				return;
			}

			// The runtime tells of a queue that has been sent only if it has too many bytes.
			res.write('', error => {
				if (!error) {
					listener();
				}
			});
		},
		unsentBytes: () => res.writableLength === 0 ? 0 : res.writableLength + (unsentWrites * writeBytes),
	};
}
