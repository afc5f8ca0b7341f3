/**
 * Bounds the heap that open requests take. The runtime ends a process whose heap is full, and a request
 * holds its head, its response and its timers from its first byte until the response is closed.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {headHeapBytesOf} from '../http/head-bytes.js';

/** The heap of one daemon's open requests. */
export type RequestHeap = {
	/** Takes the bytes of a request until its response is closed; returns false if there are none left. */
	take: (req: IncomingMessage, res: ServerResponse) => boolean;
	/** Estimated bytes of all open requests. */
	bytes: () => number;
	maxBytes: number;
};

/** Options of {@link createRequestHeap}. */
export type RequestHeapOptions = {
	maxBytes: number;
	/** Resident memory of the process, in bytes, and its upper bound for new requests; garbage and fragments are in no account. */
	residentBytes: () => number;
	maxResidentBytes: number;
	/** Whether the runtime's heap is nearly full, whatever holds it. */
	isHeapNearLimit?: () => boolean;
	/** Called when requests begin to be refused, and when there is room again. */
	onFull: (isFull: boolean, bytes: number) => void;
};

/** Heap of a request without its head: both connections, the response and the state of the attempt. */
const requestBytes = 24 * 1024;

/** Resident memory is read this often, while open requests take more than a fraction of their limit. */
const sampleMs = 250;
const sampledRatio = 0.25;

/** Fraction of the limit below which there is room again. */
const roomRatio = 0.8;

/** Creates the account of a daemon without requests. */
export function createRequestHeap({
	maxBytes, residentBytes, maxResidentBytes, isHeapNearLimit = () => false, onFull,
}: RequestHeapOptions): RequestHeap {
	let total = 0;
	let isFull = false;
	let isLow = false;
	let sampledAt = Number.NEGATIVE_INFINITY;

	const setFull = (value: boolean): void => {
		if (isFull !== value) {
			isFull = value;
			onFull(isFull, total);
		}
	};

	/** Whether the process is near its memory limit. A few requests are always taken, since the allocator may keep what was freed. */
	const isMemoryLow = (): boolean => {
		if (total < maxBytes * sampledRatio) {
			isLow = false;
			return isLow;
		}

		const now = performance.now();
		if (now - sampledAt >= sampleMs) {
			sampledAt = now;
			isLow = residentBytes() > maxResidentBytes;
		}

		return isLow;
	};

	return {
		take(req, res) {
			const bytes = requestBytes + headHeapBytesOf(req);
			if (total + bytes > maxBytes || isHeapNearLimit() || isMemoryLow()) {
				setFull(true);
				return false;
			}

			total += bytes;
			if (req.headers['transfer-encoding'] !== undefined) {
				req.once('end', () => {
					// Nobody reads trailers, and a request may wait for long.
					req.rawTrailers = [];
				});
			}

			res.once('close', () => {
				total -= bytes;
				if (isFull && total < maxBytes * roomRatio && !isHeapNearLimit() && !isMemoryLow()) {
					setFull(false);
				}
			});
			return true;
		},
		bytes: () => total,
		maxBytes,
	};
}
