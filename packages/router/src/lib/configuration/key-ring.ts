/**
 * Tells whose key a caller presents. Only digests are held. The ring is built
 * anew for each version and swapped at once, so that a withdrawn key fails for
 * the next request, also on a connection that was open before.
 */
import {type Buffer} from 'node:buffer';
import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';
import {type AcceptedDocument, type Workspace} from './document.js';

/** Whose request it is, as its key said. */
export type Caller = {
	workspace: Workspace;
	/** Public name of the key; the key itself is kept nowhere. */
	keyId: string;
};

/** Tells whose key it is. */
export type KeyRing = {
	/**
	 * Called for every request anew, also on a connection that was open before
	 * the key was withdrawn. `undefined` when no workspace has this key now.
	 */
	authenticate: (key: string) => Caller | undefined;
};

/** Options of {@link createKeyRing}. */
export type KeyRingOptions = {
	/** The version in force; asked for at every request. */
	current: () => AcceptedDocument | undefined;
	/** Whether keys may be taken by it; a daemon that is cut off must not. */
	mayServe: () => boolean;
};

/** A key that was made just now. The key is shown once and kept nowhere. */
export type IssuedKey = {
	key: string;
	/** For the document. */
	digest: string;
};

type RingEntry = {digest: Uint8Array; caller: Caller};

const keyBytes = 32;

/** Makes a random key of 256 bits and its digest. */
export function issueKey(): IssuedKey {
	const key = `hw-${randomBytes(keyBytes).toString('base64url')}`;
	return {key, digest: digestOf(key).toString('hex')};
}

/**
 * Creates the ring over the version in force.
 *
 * @example
 * const keyRing = createKeyRing(follower);
 * const caller = keyRing.authenticate(key);
 */
export function createKeyRing(options: KeyRingOptions): KeyRing {
	let builtFrom: AcceptedDocument | undefined;
	let entries = new Map<string, RingEntry>();
	return {
		authenticate(key) {
			const accepted = options.current();
			if (accepted === undefined || !options.mayServe()) {
				return undefined;
			}

			if (accepted !== builtFrom) {
				entries = index(accepted);
				builtFrom = accepted;
			}

			// The index is by digest: what its timing tells is about the digest of
			// a guess, from which no key can be told that comes nearer. Comparing
			// in constant time keeps the last step from telling more.
			const digest = digestOf(key);
			const entry = entries.get(digest.toString('hex'));
			return entry !== undefined && timingSafeEqual(entry.digest, digest) ? entry.caller : undefined;
		},
	};
}

function digestOf(key: string): Buffer {
	return createHash('sha256').update(key).digest();
}

function index(accepted: AcceptedDocument): Map<string, RingEntry> {
	const entries = new Map<string, RingEntry>();
	for (const workspace of accepted.document.workspaces) {
		for (const key of workspace.keys) {
			entries.set(key.digest, {
				digest: Uint8Array.from(key.digest.match(/../gv) ?? [], pair => Number.parseInt(pair, 16)),
				caller: {workspace, keyId: key.id},
			});
		}
	}

	return entries;
}
