/** The outgoing side of a stream: a queue of batches that the transport iterates. */
import {type Batch} from '../../gen/hickorywalk/v1/peer_pb.js';

/** A queue of batches for the transport. */
export type BatchSource = {
	put: (batch: Batch) => void;
	/** Number of batches that the transport has not taken yet; it takes none while the peer does not read. */
	waiting: () => number;
	/** Ends the stream after the queued batches. */
	end: () => void;
	/** For the transport; can be iterated only once. */
	batches: AsyncGenerator<Batch, void>;
};

/** Creates an open source. */
export function createBatchSource(): BatchSource {
	const waiting: Batch[] = [];
	let ended = false;
	let wake: (() => void) | undefined;

	async function waitForChange(): Promise<void> {
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

			await waitForChange();
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
