/** Keys by which the parts of prompts that requests share are known again in any request. */
import {createHash} from 'node:crypto';
import {type PromptPart} from '../fleet/call-headers.js';

const prefix = 'part:';

/** Longer ids are replaced by a hash, so that a caller can't choose the length of a key. */
const maxIdChars = 32;

const keyOf = ({id}: PromptPart): string =>
	prefix + (id.length <= maxIdChars ? id : createHash('sha256').update(id).digest('base64url').slice(0, maxIdChars));

/** Keys of all parts of a prompt but the last, which belongs to the request itself. */
export const sharedPartKeys = (parts: readonly PromptPart[]): string[] => parts.slice(0, -1).map(part => keyOf(part));

/** Whether a key is that of a part and not of a whole request. */
export const isPartKey = (key: string): boolean => key.startsWith(prefix);
