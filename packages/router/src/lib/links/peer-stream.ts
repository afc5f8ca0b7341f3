/**
 * One stream between two daemons, the same on both ends once it is open. It
 * numbers batches, counts gaps, and destroys its connection when the peer has
 * been silent for too long.
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
	/** Milliseconds without a batch from the peer after which the connection counts as dead. */
	silenceMs: number;
	/** Milliseconds after which an empty batch is sent when there is nothing to say. */
	pingMs: number;
	/** Hears each batch. */
	onBatch: (batch: Batch) => void;
	/** Told once when the stream has ended, whoever ended it. */
	onEnd: () => void;
};

/** One stream between two daemons. */
export type PeerStream = {
	dialled: boolean;
	/** Whether the peer has answered and the transport keeps up; until then messages wait in their queue. */
	canSend: () => boolean;
	send: (bodies: readonly PeerBody[]) => void;
	/** Looks at the clock: sends a ping or gives the stream up when it is due. */
	check: () => void;
	/** Takes batches until the peer ends the stream or the connection breaks. */
	run: (batches: AsyncIterable<Batch>) => Promise<void>;
	/** Ends this daemon's side after what was sent. */
	end: () => void;
	/** Destroys the connection at once. */
	abandon: () => void;
	/** Milliseconds since the peer was last heard. */
	silentMs: () => number;
	/** Batches that were missing by their numbers. */
	gaps: () => number;
};

/** Batches that may wait for the transport; more would only grow old there. */
const mostWaitingBatches = 2;

/** Creates the state of an open stream. */
export function createPeerStream(options: PeerStreamOptions): PeerStream {
	const {source, self} = options;
	let sequence = 0n;
	let lastReceived = 0n;
	let gaps = 0;
	let heardAt = performance.now();
	let sentAt = -Infinity;
	let heard = false;
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
		heard = true;
		heardAt = performance.now();
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
		canSend: () => heard && !ended && !ending && source.waiting() < mostWaitingBatches,
		send,
		check() {
			const now = performance.now();
			// Something between the two ends may have forgotten the connection: no
			// error ever comes, and writes seem to work. Only silence tells, since
			// a live peer sends a ping at least every pingMs.
			if (now - heardAt > options.silenceMs) {
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

				// A stream that ended well leaves its connection to whoever opened it.
				if (options.dialled) {
					options.destroy();
				}
			} catch {
				// A broken stream is no fault of this daemon; the link dials again.
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
		silentMs: () => performance.now() - heardAt,
		gaps: () => gaps,
	};
}
