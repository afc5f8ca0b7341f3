/** Reads a stream to its end. */
import {type Buffer} from 'node:buffer';
import {createByteCollector} from './byte-collector.js';

/** Resolves to all bytes of a stream in one buffer; `onRead` is called after each read. */
export async function readWhole(stream: AsyncIterable<Uint8Array>, onRead: () => void = () => undefined): Promise<Buffer> {
	const collector = createByteCollector();
	// An iteration reads many chunks at once where they have arrived together.
	for await (const bytes of stream) {
		onRead();
		collector.add(bytes);
	}

	return collector.whole();
}
