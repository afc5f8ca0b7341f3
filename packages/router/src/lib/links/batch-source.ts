/** The outgoing half of a stream: batches are put in, the transport takes them out. */
import {type Batch} from '../../gen/hickorywalk/v1/peer_pb.js';

/** Batches on their way to the transport. */
export type BatchSource = {
	put: (batch: Batch) => void;
	/** Batches that the transport has not taken yet; it takes none while the peer does not read. */
	waiting: () => number;
	/** Ends the stream after what was put. */
	end: () => void;
	/** For the transport; to be iterated once. */
	batches: AsyncGenerator<Batch, void>;
};

/** Creates an open source. */
export function createBatchSource(): BatchSource {
	const waiting: Batch[] = [];
	let ended = false;
	let wake: (() => void) | undefined;

	async function news(): Promise<void> {
		return new Promise(resolve => {
			wake = resolve;
		});
	}

	async function * iterate(): AsyncGenerator<Batch, void> {
		for (;;) {
			const batch = waiting.shift();
			if (batch !== undefined) {
				yield batch;
				continue;
			}

			if (ended) {
				return;
			}

			await news();
		}
	}

	return {
		put(batch) {
			waiting.push(batch);
			wake?.();
		},
		waiting: () => waiting.length,
		end() {
			ended = true;
			wake?.();
		},
		batches: iterate(),
	};
}
