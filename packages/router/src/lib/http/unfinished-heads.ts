/** Bounds the bytes of heads that have begun to arrive and are not complete. */
import {type Socket} from 'node:net';
import {type FastifyInstance} from 'fastify';
import {headBytesOf} from './head-bytes.js';

/** Options of {@link limitUnfinishedHeads}. */
export type UnfinishedHeadLimits = {
	/** Upper bound on the bytes of all unfinished heads. */
	maxBytes: number;
	/** Longest head that the server accepts. */
	maxHeadBytes: number;
	/** Whether the heap is nearly full; a head of short lines takes several times its bytes. */
	isHeapNearLimit?: () => boolean;
	/** Called when connections are closed since the bound was exceeded. */
	onExceeded: (bytes: number, count: number) => void;
};

/** Bytes of a connection that belong to requests whose heads are complete; infinite while the length of a body is unknown. */
type Connection = {usedBytes: number};

/** Interval of checks, while there are so many connections that their heads could exceed the bound; in milliseconds. */
const checkMs = 250;

/** Bytes by which the estimated length of a head may be wrong. */
const maxDriftBytes = 1024;

/** Fraction of the bound that is left once connections were closed. */
const keptRatio = 0.8;

/** Fraction of the bound that applies while the heap is nearly full. */
const nearLimitRatio = 0.1;

/** Closes connections with the longest unfinished heads once all of them together exceed the bound. */
export function limitUnfinishedHeads(app: FastifyInstance, {
	maxBytes, maxHeadBytes, isHeapNearLimit = () => false, onExceeded,
}: UnfinishedHeadLimits): void {
	const connections = new Map<Socket, Connection>();
	const maxUnchecked = maxBytes / maxHeadBytes;
	let timer: NodeJS.Timeout | undefined;

	const check = (): void => {
		if (connections.size <= maxUnchecked) {
			clearInterval(timer);
			timer = undefined;
			return;
		}

		let total = 0;
		const unfinished: Array<{socket: Socket; bytes: number}> = [];
		for (const [socket, connection] of connections) {
			const bytes = socket.bytesRead - connection.usedBytes;
			if (bytes > maxHeadBytes) {
				// The server accepts no such head, so complete ones were longer than estimated.
				connection.usedBytes = socket.bytesRead;
			} else if (bytes > 0) {
				total += bytes;
				unfinished.push({socket, bytes});
			}
		}

		const boundBytes = isHeapNearLimit() ? maxBytes * nearLimitRatio : maxBytes;
		if (total > boundBytes) {
			closeLongest(unfinished, total, boundBytes);
		}
	};

	const closeLongest = (unfinished: Array<{socket: Socket; bytes: number}>, total: number, boundBytes: number): void => {
		let left = total;
		let count = 0;
		for (const {socket, bytes} of unfinished.toSorted((a, b) => b.bytes - a.bytes)) {
			if (left <= boundBytes * keptRatio) {
				break;
			}

			left -= bytes;
			count++;
			socket.destroy();
		}

		onExceeded(total, count);
	};

	app.server.on('connection', (socket: Socket) => {
		connections.set(socket, {usedBytes: 0});
		socket.once('close', () => {
			connections.delete(socket);
		});
		if (timer === undefined && connections.size > maxUnchecked) {
			timer = setInterval(check, checkMs);
			timer.unref();
		}
	});
	app.addHook('onRequest', ({raw}, _reply, done) => {
		const {socket} = raw;
		const connection = connections.get(socket);
		if (connection === undefined) {
			done();
			return;
		}

		if (raw.headers['transfer-encoding'] === undefined) {
			const bodyBytes = Number(raw.headers['content-length'] ?? 0);
			connection.usedBytes += headBytesOf(raw) + bodyBytes;
			if (bodyBytes === 0 && socket.bytesRead - connection.usedBytes < maxDriftBytes) {
				// A caller may write more or less space than usual, which must not add up over its requests.
				connection.usedBytes = socket.bytesRead;
			}
		} else {
			connection.usedBytes = Number.POSITIVE_INFINITY;
			raw.once('end', () => {
				connection.usedBytes = socket.bytesRead;
			});
		}

		done();
	});
}
