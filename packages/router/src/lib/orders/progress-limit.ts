/**
 * Closes connections that bring bytes without advancing a response. The parser accepts any number of
 * blank lines, informational heads and chunk extensions, and a status line of any length, so that a
 * timer alone would leave an endpoint in trouble to occupy the process until the request's deadline.
 */
import {type Socket} from 'node:net';
import {EndpointExchangeError} from './orders-errors.js';

/** Bytes without progress after which a connection is closed. More than one read of a socket, which may hold a whole response. */
const defaultMaxBytes = 256 * 1024;

/** Watches connections. */
export type ProgressLimit = {
	/** Watches a socket from now on. */
	attach: (socket: Socket) => void;
	/** What the socket has brought so far belongs to a response. */
	progressed: (socket: Socket) => void;
};

/** Creates the limit. */
export function createProgressLimit(maxBytes = defaultMaxBytes): ProgressLimit {
	/** Bytes read from a socket when a response last advanced. */
	const progress = new WeakMap<Socket, number>();

	return {
		attach(socket) {
			const read = socket._read.bind(socket);
			socket._read = size => {
				if (socket.bytesRead - (progress.get(socket) ?? 0) > maxBytes) {
					socket.destroy(new EndpointExchangeError(`The connection brought over ${maxBytes} bytes that are no response.`));
					return;
				}

				read(size);
			};
		},
		progressed(socket) {
			progress.set(socket, socket.bytesRead);
		},
	};
}
