/** Adapts the timeout of connecting to the time that it usually takes. */
import {type Socket} from 'node:net';

/** One attempt to connect. */
export type ConnectAttempt = {
	/** Destroys the socket if it isn't connected in time. */
	destroyIfLate: (socket: Socket) => void;
	ended: (isConnected: boolean) => void;
};

/** Timeouts of connections that are being opened. */
export type ConnectTimeout = {
	start: () => ConnectAttempt;
	/** Current timeout in milliseconds. */
	currentMs: () => number;
};

/** Connecting is given up after this multiple of the usual time. */
const usualTimes = 8;

/** Lower bound in milliseconds; covers delays of a busy process. */
const minTimeoutMs = 60;

const smoothing = 0.1;

/** Creates timeouts of at most `maxMs`, the initial one. */
export function createConnectTimeout(maxMs: number): ConnectTimeout {
	let usualMs = maxMs / usualTimes;

	const currentMs = (): number => Math.min(maxMs, Math.max(minTimeoutMs, usualMs * usualTimes));

	return {
		currentMs,
		start() {
			const startedAt = performance.now();
			let timer: NodeJS.Timeout | undefined;
			return {
				destroyIfLate(socket) {
					timer = setTimeout(() => {
						// A process that was busy reads its timers before its sockets.
						setImmediate(() => {
							if (socket.connecting) {
								socket.destroy(new Error('The connection was not established in time.'));
							}
						});
					}, currentMs());
				},
				ended(isConnected) {
					clearTimeout(timer);
					if (isConnected) {
						usualMs += smoothing * (Math.min(maxMs, performance.now() - startedAt) - usualMs);
					}
				},
			};
		},
	};
}
