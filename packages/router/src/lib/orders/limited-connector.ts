/** Opens connections for HTTP clients that are closed once they bring more bytes than a response may have. */
import diagnosticsChannel from 'node:diagnostics_channel';
import {type Socket} from 'node:net';
import {buildConnector} from 'undici';
import {createProgressLimit, type ProgressLimit} from './progress-limit.js';

const limits = new WeakMap<Socket, ProgressLimit>();

diagnosticsChannel.subscribe('undici:client:sendHeaders', message => {
	const {socket} = message as {socket: Socket};
	limits.get(socket)?.progressed(socket);
});

/**
 * Creates a connector whose connections are closed after `maxBytes` since the latest request. Undici's own bound
 * ends with the response, and the parser takes blank lines after it without end.
 */
export function createLimitedConnector(options: buildConnector.BuildOptions, maxBytes: number): buildConnector.connector {
	const limit = createProgressLimit(maxBytes);
	// Undici returns the socket, contrary to its types.
	const openConnection = buildConnector(options) as (...parameters: Parameters<buildConnector.connector>) => Socket;
	return (connectOptions, callback) => {
		const socket = openConnection(connectOptions, callback);
		limit.attach(socket);
		limits.set(socket, limit);
	};
}
