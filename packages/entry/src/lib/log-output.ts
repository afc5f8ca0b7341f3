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
	/**
	 * Resolves once all that is queued is written, the destination has failed, or {@link flushLimitMs} have passed;
	 * to whether a write is stuck in the thread pool, for which the runtime would wait at its exit.
	 */
	flush: () => Promise<boolean>;
};

/** Longest time for which an exit waits for a slow reader or disk, in milliseconds. */
export const flushLimitMs = 250;

/** Resolves once `run` has called back, or after `limitMs` milliseconds; to whether it was too late. */
async function isLate(limitMs: number, run: (done: () => void) => void): Promise<boolean> {
	const called = new Promise<boolean>(resolve => {
		run(() => {
			resolve(false);
		});
	});
	return Promise.race([called, pause(limitMs, true)]);
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
			flush: async () => isLate(flushLimitMs, done => {
				file.flush(done);
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
				await isLate(flushLimitMs, done => {
					socket.write('', done);
				});
			}

			return false;
		},
	};
}
