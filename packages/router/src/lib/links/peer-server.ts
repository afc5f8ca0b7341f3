/** Accepts streams from peers over cleartext HTTP/2. */
import {createServer, Http2ServerRequest, type Http2Session} from 'node:http2';
import {once} from 'node:events';
import {
	Code, ConnectError, createContextKey, createContextValues, type ConnectRouter,
} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {type Batch, PeerService} from '../../gen/hickorywalk/v1/peer_pb.js';
import {bindAddress, type BindAddress, type BindOptions} from '../sockets/bind-address.js';
import {PeerListenError} from './link-errors.js';
import {
	isSameSecret, nameHeader, readMaxBytes, secretHeader,
} from './protocol.js';

/** A stream that a peer opened. */
export type AcceptedStream = {
	/** Name of the peer, as it sent it. */
	name: string;
	/** Incoming batches. */
	batches: AsyncIterable<Batch>;
	/** Destroys the connection and all streams on it. */
	destroy: () => void;
};

/** Options of {@link createPeerServer}. */
export type PeerServerOptions = {
	secret: string;
	/** Accepts a stream and returns the outgoing batches. */
	accept: (stream: AcceptedStream) => AsyncIterable<Batch>;
};

/** The server for peers. */
export type PeerServer = {
	/** Resolves to the port. Throws {@link PeerListenError}. */
	listen: (address: BindAddress, options?: BindOptions) => Promise<number>;
	close: () => Promise<void>;
};

const sessionKey = createContextKey<Http2Session | undefined>(undefined);

/** Creates the server; call `listen` to open the port. */
export function createPeerServer(options: PeerServerOptions): PeerServer {
	const sessions = new Set<Http2Session>();
	const routes = (router: ConnectRouter) => {
		router.service(PeerService, {
			// Checked on each call, since an open connection is not authenticated.
			exchange(batches, context) {
				if (!isSameSecret(context.requestHeader.get(secretHeader) ?? '', options.secret)) {
					throw new ConnectError('Wrong fleet secret.', Code.Unauthenticated);
				}

				const session = context.values.get(sessionKey);
				return options.accept({
					name: context.requestHeader.get(nameHeader) ?? '',
					batches,
					destroy() {
						session?.destroy();
					},
				});
			},
		});
	};

	const server = createServer(connectNodeAdapter({
		routes,
		acceptCompression: [],
		readMaxBytes,
		contextValues: req => createContextValues().set(sessionKey, req instanceof Http2ServerRequest ? req.stream.session : undefined),
	}));
	server.on('session', session => {
		sessions.add(session);
		session.on('error', () => {
			session.destroy();
		});
		session.on('close', () => {
			sessions.delete(session);
		});
	});

	return {
		async listen({host, port}, options) {
			try {
				await bindAddress({host, port}, async () => {
					server.listen(port, host);
					await once(server, 'listening');
				}, options);
			} catch (error) {
				throw new PeerListenError(`Can't listen for peers at ${host}:${port}. Another process may hold the port.`, {cause: error});
			}

			const address = server.address();
			return typeof address === 'object' && address !== null ? address.port : port;
		},
		async close() {
			if (!server.listening) {
				return;
			}

			const closed = once(server, 'close');
			server.close();
			for (const session of sessions) {
				session.destroy();
			}

			await closed;
		},
	};
}
