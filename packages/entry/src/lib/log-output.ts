/** Writes log lines to a file descriptor without waiting for its reader. */
import {Buffer} from 'node:buffer';
import {fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import sonicBoom from 'sonic-boom';

/** Options of {@link createLogOutput}. */
export type LogOutputOptions = {
	fd: number;
	/** Upper bound on bytes queued for a slow reader; further text is dropped. */
	maxQueuedBytes: number;
};

/** Destination of log lines. */
export type LogOutput = {
	write: (text: string) => void;
	/** Resolves once all that is queued is written, the destination has failed, or {@link flushLimitMs} have passed. */
	flush: () => Promise<void>;
};

/** Longest time for which an exit waits for a slow reader or disk, in milliseconds. */
export const flushLimitMs = 250;

/** Resolves once `run` has called back, or after `limitMs` milliseconds. */
async function within(limitMs: number, run: (resolve: () => void) => void): Promise<void> {
	await Promise.race([new Promise<void>(run), pause(limitMs)]);
}

/**
 * A pipe whose reader has stopped would block the process in a synchronous write. The event loop writes
 * pipes and sockets at once where they have room and queues the rest, without the thread pool: each
 * write through the pool wakes two threads. Other destinations go through the pool.
 */
export function createLogOutput({fd, maxQueuedBytes}: LogOutputOptions): LogOutput {
	const stat = fstatSync(fd);
	if (!stat.isFIFO() && !stat.isSocket()) {
		// Without a minimum length, the library's flush waits for nothing.
		const file = new sonicBoom.SonicBoom({
			fd, sync: false, minLength: 1, maxLength: maxQueuedBytes,
		});
		// On a full disk, the daemon goes on; each later write tries again.
		file.on('error', () => undefined);
		return {
			write(text) {
				file.write(text);
			},
			// A synchronous flush would repeat a write that fails for ever.
			flush: async () => within(flushLimitMs, resolve => {
				file.flush(resolve);
			}),
		};
	}

	const socket = new Socket({fd, readable: false, writable: true});
	// Without its reader, the daemon goes on without a log.
	socket.on('error', () => undefined);
	return {
		write(text) {
			if (!socket.destroyed && socket.writableLength + Buffer.byteLength(text) <= maxQueuedBytes) {
				socket.write(text);
			}
		},
		async flush() {
			if (!socket.destroyed && socket.writableLength > 0) {
				await within(flushLimitMs, resolve => {
					socket.write('', resolve);
				});
			}
		},
	};
}
