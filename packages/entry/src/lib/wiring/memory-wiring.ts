/**
 * Divides the process's memory.
 *
 * Limit of the platform = runtime, code and connections (`processBytes`) + heap of open requests + buffered bytes
 * + unfinished heads + sockets and garbage. The heap of requests also stays well below the limit of the runtime.
 */
import {constants, type NodeGCPerformanceDetail, PerformanceObserver} from 'node:perf_hooks';
import process from 'node:process';
import {getHeapStatistics} from 'node:v8';
import {type BootSettings} from '@hickorywalk/platform';
import {
	type BufferAccount, createBufferAccount, createHeapWatch, createRequestHeap, type HeapWatch, type RequestHeap,
} from 'hickorywalk/forwarding.js';
import {createLineBudget, type LineBudget} from 'hickorywalk/observability.js';
import {type EntryParts} from './parts.js';

const bytesPerMegabyte = 1024 * 1024;

/** Memory of a daemon under load without buffered bytes. */
const processBytes = 110 * bytesPerMegabyte;

/** Fraction of the remaining memory for buffered bytes. */
const bufferRatio = 0.3;
const minBufferBytes = 8 * bytesPerMegabyte;

/** Fraction of the remaining memory for the heap of open requests, and of the runtime's heap; the rest is for garbage. */
const requestRatio = 0.5;
const requestHeapRatio = 0.38;
const minRequestBytes = 12 * bytesPerMegabyte;

/** Fraction of the remaining memory for heads that are not complete. */
const headRatio = 0.1;
const minHeadBytes = 4 * bytesPerMegabyte;

/** Upper bound on the bytes of heads that are not complete. */
export const unfinishedHeadBytes = ({memoryBytes}: BootSettings): number => Math.max(minHeadBytes, (memoryBytes - processBytes) * headRatio);

/** Creates the account of buffered bytes. */
export const wireBufferAccount = ({settings, heapWatch, log}: EntryParts): BufferAccount => createBufferAccount({
	isMemoryLow: heapWatch.isNearLimit,
	maxBytes: Math.max(minBufferBytes, (settings.memoryBytes - processBytes) * bufferRatio),
	onAborted({bytes, idleMs}) {
		log.warn('Request was aborted, since its bytes were not read and buffers are full.', {bytes, ms: Math.round(idleMs)});
	},
});

/** Fraction of the platform's limit up to which new requests are taken; the rest is for the responses of those under way. */
const residentRatio = 0.85;

/** Log lines per second of each kind; near a limit, requests may be refused and accepted again many times in a second. */
const linesPerSecond = 2;

const createMemoryLines = (): LineBudget => createLineBudget({perSecond: {other: linesPerSecond}});

/** Creates the account of the heap of open requests. */
export function wireRequestHeap({settings, heapWatch, log}: EntryParts): RequestHeap {
	const lines = createMemoryLines();
	return createRequestHeap({
		maxBytes: Math.min(
			getHeapStatistics().heap_size_limit * requestHeapRatio,
			Math.max(minRequestBytes, (settings.memoryBytes - processBytes) * requestRatio),
		),
		residentBytes: process.memoryUsage.rss,
		maxResidentBytes: settings.memoryBytes * residentRatio,
		isHeapNearLimit: heapWatch.isNearLimit,
		onFull(isFull, bytes) {
			if (lines.take(String(isFull))) {
				log.warn(isFull ? 'Requests are refused, since those under way take the memory for them.' : 'Requests are accepted again.', {bytes});
			}
		},
	});
}

/** Fraction of the requests under way that end after each collection that leaves the heap full. */
const abortedRatio = 0.5;

const openConnections = (): number => process.getActiveResourcesInfo().filter(name => name === 'TCPSocketWrap').length;

/** Creates the watch of the runtime's heap. */
export function wireHeapWatch(parts: EntryParts): HeapWatch {
	const {log} = parts;
	const lines = createMemoryLines();
	const limitBytes = getHeapStatistics().heap_size_limit;
	const watch = createHeapWatch({
		limitBytes,
		usedBytes: () => getHeapStatistics().used_heap_size,
		onChange(isNearLimit, bytes) {
			if (!lines.take(String(isNearLimit))) {
				return;
			}

			const {external, rss} = process.memoryUsage();
			let waiting = 0;
			for (const {count} of parts.admission.waiting()) {
				waiting += count;
			}

			log.warn(isNearLimit ? 'Heap is nearly full; requests are refused.' : 'Heap has room again.', {
				bytes, limitBytes, requestBytes: parts.requestHeap.bytes(), bufferedBytes: parts.bufferAccount.bytes(), externalBytes: external, residentBytes: rss,
				open: parts.forwarder.inFlight(), waiting, connections: openConnections(), count: [...parts.view.endpointIds()].length,
			});
		},
		onCritical() {
			const count = parts.bufferAccount.abortFraction(abortedRatio);
			if (count > 0 && lines.take('aborted')) {
				log.warn('Requests were aborted, since the heap is full.', {count});
			}
		},
	});
	// The metrics of the runtime observe the same entries.
	const observer = new PerformanceObserver(list => {
		// Several collections in one turn of the event loop leave one state of the heap.
		if (list.getEntries().some(({detail}) => (detail as NodeGCPerformanceDetail).kind === constants.NODE_PERFORMANCE_GC_MAJOR)) {
			watch.collected();
		}
	});
	observer.observe({entryTypes: ['gc']});
	return watch;
}
