import {type IncomingMessage} from 'node:http';

/** Bytes of `: ` and of the line break that belong to each header, and of a request line besides method and path. */
const bytesPerHeader = 4;
const requestLineBytes = ' '.length + ' HTTP/1.1\r\n'.length + '\r\n'.length;

/** Heap that a header takes besides its text: its strings, and its entries in the parsed head and in the copy for an endpoint. */
const heapBytesPerHeader = 160;

/** Returns the length of a request's head, as usually written. */
export function headBytesOf({method = '', url = '', rawHeaders}: IncomingMessage): number {
	let bytes = requestLineBytes + method.length + url.length + (rawHeaders.length / 2 * bytesPerHeader);
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	return bytes;
}

/** Returns the estimated heap that a request's head takes, however short its lines. */
export const headHeapBytesOf = (req: IncomingMessage): number => headBytesOf(req) + (req.rawHeaders.length / 2 * heapBytesPerHeader);
