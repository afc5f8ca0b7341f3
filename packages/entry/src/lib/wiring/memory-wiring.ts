/**
 * Divides the process's memory.
 *
 * Limit of the platform = runtime, code and connections (`processBytes`) + heap of open requests + buffered bytes
 * + unfinished heads + sockets and garbage. The heap of requests also stays well below the limit of the runtime.
 */
import process from 'node:process';
import {getHeapStatistics} from 'node:v8';
import {type BootSettings} from '@hickorywalk/platform';
import {
	type BufferAccount, createBufferAccount, createRequestHeap, type RequestHeap,
} from 'hickorywalk/forwarding.js';
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
export const wireBufferAccount = ({settings, log}: EntryParts): BufferAccount => createBufferAccount({
	maxBytes: Math.max(minBufferBytes, (settings.memoryBytes - processBytes) * bufferRatio),
	onAborted({bytes, idleMs}) {
		log.warn('Request was aborted, since its bytes were not read and buffers are full.', {bytes, ms: Math.round(idleMs)});
	},
});

/** Fraction of the platform's limit up to which new requests are taken; the rest is for the responses of those under way. */
const residentRatio = 0.85;

/** Creates the account of the heap of open requests. */
export const wireRequestHeap = ({settings, log}: EntryParts): RequestHeap => createRequestHeap({
	maxBytes: Math.min(
		getHeapStatistics().heap_size_limit * requestHeapRatio,
		Math.max(minRequestBytes, (settings.memoryBytes - processBytes) * requestRatio),
	),
	residentBytes: process.memoryUsage.rss,
	maxResidentBytes: settings.memoryBytes * residentRatio,
	onFull(isFull, bytes) {
		log.warn(isFull ? 'Requests are refused, since those under way take the memory for them.' : 'Requests are accepted again.', {bytes});
	},
});
