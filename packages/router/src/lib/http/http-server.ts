/** Starts and stops HTTP servers. */
import {type AddressInfo} from 'node:net';
import {type FastifyInstance} from 'fastify';
import {type Log} from '../observability/log.js';
import {bindAddress, type BindAddress, type BindOptions} from '../sockets/bind-address.js';

const idleSweepMs = 50;

export type {BindAddress} from '../sockets/bind-address.js';

/** Starts listening once the address is available, and resolves to the base URL with the bound port. Throws {@link BindError}. */
export async function listenServer(app: FastifyInstance, {host, port}: BindAddress, options?: BindOptions): Promise<string> {
	await bindAddress({host, port}, async () => app.listen({host, port}), options);
	const {port: boundPort} = app.server.address() as AddressInfo;
	return `http://${host}:${boundPort}`;
}

/**
 * Keeps a server in service when a connection can't be accepted, such as for want of descriptors or kernel memory.
 * Node.js emits this as an error of the server, which ends the process if nothing listens for it.
 */
export function survivePassingErrors(app: FastifyInstance, log: Log): void {
	app.server.on('error', err => {
		// A failure to listen is reported by `listen`.
		if (app.server.listening) {
			log.warn('Connection could not be accepted.', {err});
		}
	});
}

/**
 * Closes a server after its last response was sent. Node closes only connections
 * that are idle at the time of the call. A connection that is busy then becomes
 * idle after its response and would delay the shutdown until its keep-alive
 * timeout, a minute or more, so idle connections are closed periodically until
 * the server is closed. New requests on them are not guaranteed a response.
 */
export async function closeServer(app: FastifyInstance): Promise<void> {
	const sweepTimer = setInterval(() => {
		app.server.closeIdleConnections();
	}, idleSweepMs);
	try {
		await app.close();
	} finally {
		clearInterval(sweepTimer);
	}
}
