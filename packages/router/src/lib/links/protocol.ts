/** Headers and limits shared by both ends of a link. */
import {createHash, timingSafeEqual} from 'node:crypto';

/** Header with the shared secret of the fleet. */
export const secretHeader = 'hickorywalk-fleet-secret';

/** Header with the name of the daemon that dials. */
export const nameHeader = 'hickorywalk-daemon';

/** Largest accepted batch, in bytes; a part of a snapshot is far smaller. */
export const readMaxBytes = 16 * 1024 * 1024;

/**
 * Compares secrets in constant time. It compares digests, which have equal
 * length, so that the length of the secret does not leak either.
 */
export function isSameSecret(given: string, expected: string): boolean {
	return timingSafeEqual(digestOf(given), digestOf(expected));
}

function digestOf(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
