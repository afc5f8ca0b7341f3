/**
 * Authenticates callers by their keys, of which only digests are stored. The
 * index of keys is rebuilt for each version and replaced atomically, so that a
 * withdrawn key fails on the next request, also on a connection opened before.
 */
import {type Buffer} from 'node:buffer';
import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';
import {type AcceptedDocument, type Workspace} from './document.js';

/** The workspace and key that a request was authenticated with. */
export type Caller = {
	workspace: Workspace;
	/** Public name of the key; the key itself is never stored. */
	keyId: string;
};

/** Authenticates keys. */
export type KeyRing = {
	/**
	 * Must be called for every request, since a key may be withdrawn while a
	 * connection is open. `undefined` when no workspace has this key now.
	 */
	authenticate: (key: string) => Caller | undefined;
};

/** Options of {@link createKeyRing}. */
export type KeyRingOptions = {
	/** The version in force; read at every request. */
	current: () => AcceptedDocument | undefined;
	/** Whether keys may be authenticated by it; `false` on an isolated daemon. */
	mayServe: () => boolean;
};

/** A newly issued key. The key is shown once and never stored. */
export type IssuedKey = {
	key: string;
	/** For the document. */
	digest: string;
};

type RingEntry = {digest: Uint8Array; caller: Caller};

const keyBytes = 32;

/** Issues a random 256-bit key with its digest. */
export function issueKey(): IssuedKey {
	const key = `hw-${randomBytes(keyBytes).toString('base64url')}`;
	return {key, digest: digestOf(key).toString('hex')};
}

/**
 * Creates the key ring of the version in force.
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
				entries = indexKeys(accepted);
				builtFrom = accepted;
			}

			// The lookup is by digest, so its timing reveals something about the digest
			// of a guess only, which does not help to find a closer key. The final
			// comparison takes constant time so that it reveals nothing more.
			const digest = digestOf(key);
			const entry = entries.get(digest.toString('hex'));
			return entry !== undefined && timingSafeEqual(entry.digest, digest) ? entry.caller : undefined;
		},
	};
}

function digestOf(key: string): Buffer {
	return createHash('sha256').update(key).digest();
}

function indexKeys(accepted: AcceptedDocument): Map<string, RingEntry> {
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
