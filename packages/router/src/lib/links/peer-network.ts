/**
 * The links of one daemon. A link is opened when there is a message for the peer,
 * carries one batch per tick, and is closed when idle, so that a daemon keeps
 * links only to peers that its modules communicate with.
 */
import {type Batch} from '../../gen/hickorywalk/v1/peer_pb.js';
import {type BindAddress, type BindOptions} from '../sockets/bind-address.js';
import {createBatchSource} from './batch-source.js';
import {dispatch} from './dispatch.js';
import {createMessageQueue, type MessageQueue} from './message-queue.js';
import {dialPeer} from './peer-client.js';
import {type PeerHandlers, type SendToPeer} from './peer-link.js';
import {type AcceptedStream, createPeerServer} from './peer-server.js';
import {createPeerStream, type PeerStream, type PeerStreamOptions} from './peer-stream.js';

/** Name and address of a daemon. */
export type PeerAddress = {
	name: string;
	/** Such as `10.0.0.5:7100`. */
	address: string;
};

/** Options of {@link createPeerNetwork}. */
export type PeerNetworkOptions = {
	/** Name of this daemon. */
	name: string;
	/** Incarnation number of this process; grows with each start. */
	incarnation: bigint;
	/** Shared secret of the fleet. */
	secret: string;
	/** Milliseconds between batches of one link; 100 by default. */
	tickMs?: number;
	/** Milliseconds without an outgoing batch after which an empty one is sent as a ping; 1,000 by default. */
	pingMs?: number;
	/** Milliseconds without an incoming batch after which a connection is destroyed; 3,500 by default. */
	silenceMs?: number;
	/** Milliseconds without a message after which a link is closed; 60,000 by default. */
	idleMs?: number;
	/** Longest backoff between two dials, in milliseconds; the first is `tickMs`. 5,000 by default. */
	longestBackoffMs?: number;
	/** Maximum number of messages queued for one peer; 1,000 by default. */
	maxMessages?: number;
	/** Milliseconds after which a queued message is dropped, except bulk content; 1,000 by default. */
	staleMs?: number;
	/** Maximum bytes of bulk content in a batch; 512 KiB by default. */
	maxBatchBytes?: number;
	/** Returns a number between 0 and 1 for the jitter of dials; `Math.random` by default. */
	random?: () => number;
};

/** State and counters of a link, for metrics. */
export type LinkStats = {
	name: string;
	connected: boolean;
	/** Milliseconds since the last batch from the peer; `Infinity` when not connected. */
	silentMs: number;
	waiting: number;
	dropped: number;
	gaps: number;
	dials: number;
};

/** The links of one daemon. */
export type PeerNetwork = {
	send: SendToPeer;
	/** Adds a module's handlers. */
	handle: (handlers: PeerHandlers) => void;
	/** Replaces the known addresses; links to other peers are closed. */
	setPeers: (peers: Iterable<PeerAddress>) => void;
	/** Opens the port for peers and resolves to it. Throws `PeerListenError`. */
	listen: (address: BindAddress, options?: BindOptions) => Promise<number>;
	/** Sends queued messages where possible, and closes all links. */
	close: () => Promise<void>;
	stats: () => LinkStats[];
};

type Link = {
	name: string;
	queue: MessageQueue;
	streams: PeerStream[];
	/** The highest incarnation number received from the peer. */
	incarnation: bigint;
	nextDialAt: number;
	failures: number;
	dials: number;
	usedAt: number;
	endedStreamGaps: number;
};

const defaults = {
	tickMs: 100, staleMs: 1000, pingMs: 1000, silenceMs: 3500, idleMs: 60_000, longestBackoffMs: 5000, maxMessages: 1000, maxBatchBytes: 512 * 1024, random: Math.random,
};

/**
 * Creates the links of a daemon.
 *
 * @example
 * const network = createPeerNetwork({name: 'vm-1', incarnation: 7n, secret});
 * network.handle(follower.handlers);
 * await network.listen({host: '0.0.0.0', port: 7100});
 * network.setPeers([{name: 'vm-2', address: '10.0.0.6:7100'}]);
 */
export function createPeerNetwork(options: PeerNetworkOptions): PeerNetwork {
	const settings = {...defaults, ...options};
	const self = {name: options.name, incarnation: options.incarnation};
	const links = new Map<string, Link>();
	const handlers: PeerHandlers[] = [];
	let addresses = new Map<string, string>();
	let closed = false;
	const server = createPeerServer({secret: options.secret, accept});
	const timer = setInterval(tick, settings.tickMs);

	function linkTo(name: string): Link {
		let link = links.get(name);
		if (link === undefined) {
			link = {
				name, queue: createMessageQueue(settings), streams: [], incarnation: 0n, nextDialAt: 0, failures: 0, dials: 0, usedAt: performance.now(), endedStreamGaps: 0,
			};
			links.set(name, link);
		}

		return link;
	}

	function openStream(link: Link, connection: Pick<PeerStreamOptions, 'source' | 'dialled' | 'destroy'>): PeerStream {
		const stream = createPeerStream({
			...connection,
			self,
			silenceMs: settings.silenceMs,
			pingMs: settings.pingMs,
			onBatch(batch) {
				takeBatch(link, batch);
			},
			onEnd() {
				link.streams = link.streams.filter(other => other !== stream);
				link.endedStreamGaps += stream.gaps();
				if (connection.dialled) {
					backOff(link);
				}
			},
		});
		link.streams.push(stream);
		// Sends the first ping at once, which opens the stream on both ends.
		stream.check();
		return stream;
	}

	function accept(accepted: AcceptedStream): AsyncIterable<Batch> {
		const link = linkTo(accepted.name);
		const source = createBatchSource();
		const stream = openStream(link, {source, dialled: false, destroy: accepted.destroy});
		void stream.run(accepted.batches);
		return source.batches;
	}

	function dial(link: Link, address: string): void {
		link.dials++;
		const source = createBatchSource();
		const {batches, destroy} = dialPeer({
			address, name: self.name, secret: options.secret, batches: source.batches,
		});
		const stream = openStream(link, {source, dialled: true, destroy});
		void stream.run(batches);
	}

	/** Exponential backoff with jitter, so that not all daemons dial a returning peer at once. */
	function backOff(link: Link): void {
		const pause = Math.min(settings.longestBackoffMs, settings.tickMs * (2 ** link.failures));
		link.failures++;
		link.nextDialAt = performance.now() + (pause * (0.5 + (settings.random() / 2)));
	}

	function takeBatch(link: Link, batch: Batch): void {
		link.failures = 0;
		// Batches that an older process of the peer still had in flight must not be taken as current.
		if (batch.from !== link.name || batch.incarnation < link.incarnation) {
			return;
		}

		link.incarnation = batch.incarnation;
		const origin = {name: batch.from, incarnation: batch.incarnation};
		for (const {body} of batch.messages) {
			if (body.case === undefined) {
				continue;
			}

			link.usedAt = performance.now();
			for (const one of handlers) {
				dispatch(one, origin, body);
			}
		}
	}

	function tick(): void {
		for (const link of links.values()) {
			for (const stream of link.streams) {
				stream.check();
			}

			closeRedundantStreams(link);
			flush(link);
			if (link.streams.length === 0 && link.queue.size() === 0 && !addresses.has(link.name)) {
				links.delete(link.name);
			}
		}
	}

	function flush(link: Link): void {
		link.queue.dropStale();
		if (link.queue.size() === 0) {
			return;
		}

		if (link.streams.length === 0) {
			const address = addresses.get(link.name);
			if (address !== undefined && performance.now() >= link.nextDialAt) {
				dial(link, address);
			}

			return;
		}

		// The stream that received a batch most recently is the most likely to be alive.
		const [stream] = link.streams
			.filter(one => one.canSend())
			.toSorted((a, b) => a.silentMs() - b.silentMs());
		stream?.send(link.queue.takeBatch());
	}

	/** Ends idle streams, and duplicates of two daemons that dialled each other: of two streams, the one that the daemon with the greater name dialled is ended. */
	function closeRedundantStreams(link: Link): void {
		const isDuplicate = link.streams.length > 1 && self.name > link.name;
		const idle = performance.now() - link.usedAt > settings.idleMs;
		if (!isDuplicate && !idle) {
			return;
		}

		for (const stream of link.streams) {
			if (stream.dialled) {
				stream.end();
			}
		}
	}

	return {
		send(to, body) {
			if (closed || to === self.name) {
				return;
			}

			const link = linkTo(to);
			link.usedAt = performance.now();
			link.queue.push(body);
		},
		handle(added) {
			handlers.push(added);
		},
		setPeers(peers) {
			addresses = new Map([...peers].map(peer => [peer.name, peer.address]));
			for (const link of links.values()) {
				if (addresses.has(link.name)) {
					continue;
				}

				for (const stream of link.streams) {
					stream.end();
				}
			}
		},
		listen: async (address, bindOptions) => server.listen(address, bindOptions),
		async close() {
			closed = true;
			clearInterval(timer);
			for (const link of links.values()) {
				flush(link);
				for (const stream of link.streams) {
					stream.end();
				}
			}

			// Streams end once the peer has read everything; one tick is enough for a live peer.
			await new Promise<void>(resolve => {
				setTimeout(resolve, settings.tickMs);
			});
			for (const link of links.values()) {
				for (const stream of link.streams) {
					stream.abandon();
				}
			}

			await server.close();
		},
		stats: () => [...links.values()].map(link => ({
			name: link.name,
			connected: link.streams.length > 0,
			silentMs: Math.min(Infinity, ...link.streams.map(stream => stream.silentMs())),
			waiting: link.queue.size(),
			dropped: link.queue.dropped(),
			gaps: link.endedStreamGaps + link.streams.reduce((sum, stream) => sum + stream.gaps(), 0),
			dials: link.dials,
		})),
	};
}
