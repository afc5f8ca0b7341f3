/**
 * The links of one daemon. A link to a peer is opened when there is something
 * to say, carries one batch per tick, and is closed when it idles, so that a
 * daemon holds links only to those that its parts really talk to.
 */
import {type Batch} from '../../gen/hickorywalk/v1/peer_pb.js';
import {createBatchSource} from './batch-source.js';
import {dispatch} from './dispatch.js';
import {createMessageQueue, type MessageQueue} from './message-queue.js';
import {dialPeer} from './peer-client.js';
import {type PeerHandlers, type SendToPeer} from './peer-link.js';
import {type AcceptedStream, createPeerServer} from './peer-server.js';
import {createPeerStream, type PeerStream, type PeerStreamOptions} from './peer-stream.js';

/** Where a daemon is reached. */
export type PeerAddress = {
	name: string;
	/** Such as `10.0.0.5:7100`. */
	address: string;
};

/** Options of {@link createPeerNetwork}. */
export type PeerNetworkOptions = {
	/** Name of this daemon. */
	name: string;
	/** Process of this daemon; grows with each start. */
	incarnation: bigint;
	/** Secret that all daemons of the fleet share. */
	secret: string;
	/** Milliseconds between batches of one link; 100 by default. */
	tickMs?: number;
	/** Milliseconds after which an empty batch keeps a link heard; 1,000 by default. */
	pingMs?: number;
	/** Milliseconds without a batch after which a connection is destroyed; 3,500 by default. */
	silenceMs?: number;
	/** Milliseconds without a message after which a link is closed; 60,000 by default. */
	idleMs?: number;
	/** Longest pause between two dials, in milliseconds; the first is `tickMs`. 5,000 by default. */
	longestBackoffMs?: number;
	/** Most messages that wait for one peer; 1,000 by default. */
	mostMessages?: number;
	/** Milliseconds after which a message that could not be sent is dropped; 1,000 by default. */
	staleMs?: number;
	/** Most bytes of bulk content in a batch; 512 KiB by default. */
	mostBatchBytes?: number;
	/** Between 0 and 1, to spread dials; `Math.random` by default. */
	random?: () => number;
};

/** What a link has done, for metrics. */
export type LinkStats = {
	name: string;
	connected: boolean;
	/** Milliseconds since the peer was last heard on it; `Infinity` when not connected. */
	silentMs: number;
	waiting: number;
	dropped: number;
	gaps: number;
	dials: number;
};

/** The links of one daemon. */
export type PeerNetwork = {
	send: SendToPeer;
	/** Adds a part's handlers. */
	handle: (handlers: PeerHandlers) => void;
	/** Replaces the addresses that are known; links to others are closed. */
	setPeers: (peers: Iterable<PeerAddress>) => void;
	/** Opens the port for peers and resolves to it. Throws `PeerListenError`. */
	listen: (address: {host: string; port: number}) => Promise<number>;
	/** Sends what waits where it can, and closes all links. */
	close: () => Promise<void>;
	stats: () => LinkStats[];
};

type Link = {
	name: string;
	queue: MessageQueue;
	streams: PeerStream[];
	/** The highest process of the peer that was heard. */
	incarnation: bigint;
	nextDialAt: number;
	failures: number;
	dials: number;
	usedAt: number;
	gapsBefore: number;
};

const defaults = {
	tickMs: 100, staleMs: 1000, pingMs: 1000, silenceMs: 3500, idleMs: 60_000, longestBackoffMs: 5000, mostMessages: 1000, mostBatchBytes: 512 * 1024, random: Math.random,
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
				name, queue: createMessageQueue(settings), streams: [], incarnation: 0n, nextDialAt: 0, failures: 0, dials: 0, usedAt: performance.now(), gapsBefore: 0,
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
				link.gapsBefore += stream.gaps();
				if (connection.dialled) {
					backOff(link);
				}
			},
		});
		link.streams.push(stream);
		// The first ping opens the stream on both ends at once.
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

	/** The pause grows while dials fail, and varies so that a peer's return is no rush. */
	function backOff(link: Link): void {
		const pause = Math.min(settings.longestBackoffMs, settings.tickMs * (2 ** link.failures));
		link.failures++;
		link.nextDialAt = performance.now() + (pause * (0.5 + (settings.random() / 2)));
	}

	function takeBatch(link: Link, batch: Batch): void {
		link.failures = 0;
		// What an older process of the peer still had on the way must not pass for news.
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

			closeSurplus(link);
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

		// The stream that spoke last is the most likely to be alive.
		const [stream] = link.streams
			.filter(one => one.canSend())
			.toSorted((a, b) => a.silentMs() - b.silentMs());
		stream?.send(link.queue.takeBatch());
	}

	/** Two daemons may dial each other at once; of two streams the one of the later name goes. Idle ones go too. */
	function closeSurplus(link: Link): void {
		const doubled = link.streams.length > 1 && self.name > link.name;
		const idle = performance.now() - link.usedAt > settings.idleMs;
		if (!doubled && !idle) {
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
		listen: async address => server.listen(address),
		async close() {
			closed = true;
			clearInterval(timer);
			for (const link of links.values()) {
				flush(link);
				for (const stream of link.streams) {
					stream.end();
				}
			}

			// Streams end by themselves once the peer has read; one tick is enough for a live peer.
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
			gaps: link.gapsBefore + link.streams.reduce((sum, stream) => sum + stream.gaps(), 0),
			dials: link.dials,
		})),
	};
}
