/** Opens streams to peers over cleartext HTTP/2, each on its own connection. */
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {type Batch, PeerService} from '../../gen/hickorywalk/v1/peer_pb.js';
import {nameHeader, readMaxBytes, secretHeader} from './protocol.js';

/** Options of {@link dialPeer}. */
export type DialOptions = {
	/** Address of the peer, as `10.0.0.5:7100`. */
	address: string;
	/** Name of this daemon. */
	name: string;
	secret: string;
	/** Outgoing batches. */
	batches: AsyncIterable<Batch>;
};

/** A stream that this daemon opened. */
export type DialledStream = {
	/** Incoming batches; iteration throws when the connection breaks. */
	batches: AsyncIterable<Batch>;
	/** Destroys the connection; the next dial opens a new one. */
	destroy: () => void;
};

/** Opens a stream. Never throws: errors surface while its batches are read. */
export function dialPeer(options: DialOptions): DialledStream {
	const baseUrl = `http://${options.address}`;
	const sessionManager = new Http2SessionManager(baseUrl);
	const abort = new AbortController();
	const client = createClient(PeerService, createConnectTransport({
		baseUrl,
		httpVersion: '2',
		sessionManager,
		// Batches are small and numerous: compression would cost more time than it saves bytes.
		acceptCompression: [],
		readMaxBytes,
	}));
	const headers = {[secretHeader]: options.secret, [nameHeader]: options.name};
	return {
		batches: client.exchange(options.batches, {headers, signal: abort.signal}),
		destroy() {
			abort.abort();
			sessionManager.abort();
		},
	};
}
