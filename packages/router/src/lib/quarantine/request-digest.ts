/** Identifies a request by its content, so that a repeat with another id or through another daemon is recognized. */
import {type Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Content by which two requests are the same. */
export type RequestContent = {
	/** Workspace of the caller; `undefined` on public routes. */
	workspace: string | undefined;
	method: string;
	path: string;
	/** Hash of the body; `undefined` without a body. */
	bodyHash: Buffer | undefined;
};

/** Length of a digest in bytes; a multiple of 3, so base64 needs no padding. */
const digestBytes = 9;

/** Returns the digest of a request's content as base64url text. */
export function digestRequest({workspace, method, path, bodyHash}: RequestContent): string {
	const hash = createHash('sha256').update(JSON.stringify([workspace ?? null, method, path]));
	if (bodyHash !== undefined) {
		hash.update(bodyHash);
	}

	return hash.digest().subarray(0, digestBytes).toString('base64url');
}
