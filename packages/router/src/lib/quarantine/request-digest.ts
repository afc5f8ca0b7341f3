/** Identifies a request by its content, so that a repeat with another id or through another daemon is recognized. */
import {type Buffer} from 'node:buffer';
import {type PromptPart} from '../fleet/call-headers.js';
import {shortDigest} from '../fleet/short-digest.js';

/** Content by which two requests are the same. */
export type RequestContent = {
	/** Workspace of the caller; `undefined` on public routes. */
	workspace: string | undefined;
	method: string;
	path: string;
	/** Hash of the body; `undefined` without a body. */
	bodyHash: Buffer | undefined;
	/** All parts of the prompt. Engines read them in place of the body, so requests with equal bodies may differ in them alone. */
	parts: readonly PromptPart[];
};

/** Requests without parts keep the digest that rows of the store already hold. */
const textOfParts = (parts: readonly PromptPart[]): string[] =>
	parts.length === 0 ? [] : [parts.map(({id, tokens}) => `${id}:${tokens}`).join(',')];

/** Returns the digest of a request's content as base64url text. */
export const digestRequest = ({workspace, method, path, bodyHash, parts}: RequestContent): string =>
	shortDigest([workspace ?? null, method, path, ...textOfParts(parts)], bodyHash);
