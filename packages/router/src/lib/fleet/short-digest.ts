/** Digests that identify requests and streams in reports and logs. */
import {createHash} from 'node:crypto';

/** Length of a digest in bytes; a multiple of 3, so base64 needs no padding. */
const digestBytes = 9;

/** Returns the digest of a list of texts, and of content that follows them, as base64url text. */
export function shortDigest(texts: ReadonlyArray<string | null>, content: Uint8Array = new Uint8Array()): string {
	return createHash('sha256').update(JSON.stringify(texts)).update(content).digest().subarray(0, digestBytes).toString('base64url');
}
