/** What both ends of a link agree on besides the messages. */
import {createHash, timingSafeEqual} from 'node:crypto';

/** Header with the secret that all daemons of a fleet share. */
export const secretHeader = 'hickorywalk-fleet-secret';

/** Header with the name of the daemon that dials. */
export const nameHeader = 'hickorywalk-daemon';

/** Largest batch that is read, in bytes; a part of a snapshot is far smaller. */
export const readMaxBytes = 16 * 1024 * 1024;

/**
 * Compares secrets in constant time. Digests have one length, so that the
 * length of the secret does not show either.
 */
export function isSameSecret(given: string, expected: string): boolean {
	return timingSafeEqual(digestOf(given), digestOf(expected));
}

function digestOf(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
