/**
 * Computes the best hit rate that any placement could reach on a trace: the
 * caches of all engines form one pool without duplicates, and eviction knows
 * the future (Belady's algorithm: evict what is needed again last, or don't
 * store it at all). No crash empties the pool, and requests are served
 * immediately, in order of arrival.
 */
import {type PreparedRequest} from './trace-pieces.js';

/** Result of the best possible cache on a trace. */
export type BestPossible = {
	hitRate: number;
	cachedTokens: number;
	computedTokens: number;
};

type HeapEntry = {piece: bigint; nextUse: number; depth: number};

/** Order of eviction: what is needed last goes first; of the pieces of one prompt, the deepest. */
const isDroppedBefore = (a: HeapEntry, b: HeapEntry): boolean => a.nextUse > b.nextUse || (a.nextUse === b.nextUse && a.depth > b.depth);

const pushHeap = (heap: HeapEntry[], item: HeapEntry): void => {
	let index = heap.length;
	heap.push(item);
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		if (!isDroppedBefore(item, heap[parent])) {
			break;
		}

		heap[index] = heap[parent];
		index = parent;
	}

	heap[index] = item;
};

const popHeap = (heap: HeapEntry[]): HeapEntry | undefined => {
	const first = heap[0];
	const last = heap.pop();
	if (last === undefined || heap.length === 0) {
		return first;
	}

	let index = 0;
	for (;;) {
		let child = (2 * index) + 1;
		if (child + 1 < heap.length && isDroppedBefore(heap[child + 1], heap[child])) {
			child++;
		}

		if (child >= heap.length || !isDroppedBefore(heap[child], last)) {
			break;
		}

		heap[index] = heap[child];
		index = child;
	}

	heap[index] = last;
	return first;
};

/** For each piece of each request, the index of the next request that has it too; infinity when there is none. */
const nextUsesOf = (requests: readonly PreparedRequest[]): number[][] => {
	const next = new Map<bigint, number>();
	const uses: number[][] = [];
	for (let index = requests.length - 1; index >= 0; index--) {
		uses[index] = requests[index].pieces.map(piece => next.get(piece) ?? Number.POSITIVE_INFINITY);
		for (const piece of requests[index].pieces) {
			next.set(piece, index);
		}
	}

	return uses;
};

/** Replays the requests against one cache of `capacity` pieces. */
export const bestPossible = (requests: readonly PreparedRequest[], capacity: number, pieceTokens: number): BestPossible => {
	const uses = nextUsesOf(requests);
	const kept = new Map<bigint, number>();
	const heap: HeapEntry[] = [];
	let cachedTokens = 0;
	let computedTokens = 0;
	for (const [index, {pieces, promptTokens}] of requests.entries()) {
		let hits = 0;
		while (hits < pieces.length && kept.has(pieces[hits])) {
			hits++;
		}

		cachedTokens += hits * pieceTokens;
		computedTokens += promptTokens - (hits * pieceTokens);
		for (const [depth, piece] of pieces.entries()) {
			const nextUse = uses[index][depth];
			if (nextUse === Number.POSITIVE_INFINITY) {
				kept.delete(piece);
				continue;
			}

			kept.set(piece, nextUse);
			pushHeap(heap, {piece, nextUse, depth});
		}

		while (kept.size > capacity) {
			const dropped = popHeap(heap)!;
			// A heap entry is stale when the piece was used or evicted since.
			if (kept.get(dropped.piece) === dropped.nextUse) {
				kept.delete(dropped.piece);
			}
		}
	}

	return {hitRate: cachedTokens / (cachedTokens + computedTokens), cachedTokens, computedTokens};
};
