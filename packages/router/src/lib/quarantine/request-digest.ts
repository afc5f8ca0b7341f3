/** Identifies a request by its content, so that a repeat with another id or through another daemon is recognized. */
import {type Buffer} from 'node:buffer';
import {shortDigest} from '../fleet/short-digest.js';

/** Content by which two requests are the same. */
export type RequestContent = {
	/** Workspace of the caller; `undefined` on public routes. */
	workspace: string | undefined;
	method: string;
	path: string;
	/** Hash of the body; `undefined` without a body. */
	bodyHash: Buffer | undefined;
};

/** Returns the digest of a request's content as base64url text. */
export const digestRequest = ({workspace, method, path, bodyHash}: RequestContent): string =>
	shortDigest([workspace ?? null, method, path], bodyHash);
