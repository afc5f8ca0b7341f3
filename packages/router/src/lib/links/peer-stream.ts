/**
 * One stream between two daemons, symmetric once it is open. It numbers batches,
 * counts missing ones, and destroys its connection after `silenceMs` without a
 * batch from the peer.
 */
import {create} from '@bufbuild/protobuf';
import {type Batch, BatchSchema, PeerMessageSchema} from '../../gen/hickorywalk/v1/peer_pb.js';
import {type BatchSource} from './batch-source.js';
import {type PeerBody, type PeerOrigin} from './peer-link.js';

/** Options of {@link createPeerStream}. */
export type PeerStreamOptions = {
	/** This daemon. */
	self: PeerOrigin;
	source: BatchSource;
	/** Whether this daemon opened the stream. */
	dialled: boolean;
	/** Destroys the connection that carries the stream. */
	destroy: () => void;
	/** Milliseconds without a batch from the peer after which the connection is considered dead. */
	silenceMs: number;
	/** Milliseconds without an outgoing batch after which an empty one is sent. */
	pingMs: number;
	/** Called for each batch. */
	onBatch: (batch: Batch) => void;
	/** Called once when the stream has ended, on either side. */
	onEnd: () => void;
};

/** One stream between two daemons. */
export type PeerStream = {
	dialled: boolean;
	/** Whether the peer has answered and the transport keeps up; otherwise messages stay in their queue. */
	canSend: () => boolean;
	send: (bodies: readonly PeerBody[]) => void;
	/** Sends a ping when one is due, or destroys the connection when the peer was silent for too long. */
	check: () => void;
	/** Receives batches until the peer ends the stream or the connection breaks; never rejects. */
	run: (batches: AsyncIterable<Batch>) => Promise<void>;
	/** Ends the outgoing side after the queued batches. */
	end: () => void;
	/** Destroys the connection at once. */
	abandon: () => void;
	/** Milliseconds since the last batch from the peer. */
	silentMs: () => number;
	/** Number of batches missing from the sequence. */
	gaps: () => number;
};

/** Maximum number of batches queued for the transport; more would only become stale there. */
const maxWaitingBatches = 2;

/** Creates the state of an open stream. */
export function createPeerStream(options: PeerStreamOptions): PeerStream {
	const {source, self} = options;
	let sequence = 0n;
	let lastReceived = 0n;
	let gaps = 0;
	let lastReceivedAt = performance.now();
	let sentAt = -Infinity;
	let hasReceived = false;
	let ended = false;
	let ending = false;

	function finish(): void {
		if (ended) {
			return;
		}

		ended = true;
		source.end();
		options.onEnd();
	}

	function abandon(): void {
		options.destroy();
		finish();
	}

	function receive(batch: Batch): void {
		hasReceived = true;
		lastReceivedAt = performance.now();
		if (batch.sequence > lastReceived + 1n) {
			gaps += Number(batch.sequence - lastReceived - 1n);
		}

		lastReceived = batch.sequence;
		options.onBatch(batch);
	}

	function send(bodies: readonly PeerBody[]): void {
		sequence++;
		sentAt = performance.now();
		source.put(create(BatchSchema, {
			from: self.name,
			incarnation: self.incarnation,
			sequence,
			messages: bodies.map(body => create(PeerMessageSchema, {body})),
		}));
	}

	return {
		dialled: options.dialled,
		canSend: () => hasReceived && !ended && !ending && source.waiting() < maxWaitingBatches,
		send,
		check() {
			const now = performance.now();
			// A middlebox may have lost track of the connection: no error is reported
			// and writes seem to succeed. Only silence reveals it, since a live peer
			// sends at least a ping every pingMs.
			if (now - lastReceivedAt > options.silenceMs) {
				abandon();
				return;
			}

			if (!ending && now - sentAt >= options.pingMs && source.waiting() === 0) {
				send([]);
			}
		},
		async run(batches) {
			try {
				for await (const batch of batches) {
					if (ended) {
						break;
					}

					receive(batch);
				}

				// After a normal end, the side that dialled closes the connection.
				if (options.dialled) {
					options.destroy();
				}
			} catch {
				// A broken connection is not an error of this daemon; the link dials again.
				options.destroy();
			} finally {
				finish();
			}
		},
		end() {
			ending = true;
			source.end();
		},
		abandon,
		silentMs: () => performance.now() - lastReceivedAt,
		gaps: () => gaps,
	};
}
