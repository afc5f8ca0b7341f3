/** Starts and ends HTTP servers. */
import {type AddressInfo} from 'node:net';
import {type FastifyInstance} from 'fastify';

const sweepMs = 50;

/** Where a server binds. */
export type BindAddress = {host: string; port: number};

/** Starts to listen and resolves to the bound address as a URL, whatever port was free. */
export async function listenServer(app: FastifyInstance, {host, port}: BindAddress): Promise<string> {
	await app.listen({host, port});
	const {port: bound} = app.server.address() as AddressInfo;
	return `http://${host}:${bound}`;
}

/**
 * Closes a server once its last answer is out. Node closes the connections that
 * idle at the moment of the call; one that is busy then goes idle after its
 * answer and would hold the stop up until its keep-alive ends, a minute or
 * more. Sweeping idle connections until the end is enough, since new requests
 * on them are no longer promised an answer.
 */
export async function closeServer(app: FastifyInstance): Promise<void> {
	const sweep = setInterval(() => {
		app.server.closeIdleConnections();
	}, sweepMs);
	try {
		await app.close();
	} finally {
		clearInterval(sweep);
	}
}
