/** Keys by which the parts of prompts that requests share are known again in any request. */
import {createHash} from 'node:crypto';
import {type PromptPart} from '../fleet/call-headers.js';

const prefix = 'part:';

/** Longer ids are replaced by a hash, so that a caller can't choose the length of a key. */
const maxIdChars = 32;

const shortId = (id: string): string => id.length <= maxIdChars ? id : createHash('sha256').update(id).digest('base64url').slice(0, maxIdChars);

const keyOf = ({id}: PromptPart): string => prefix + shortId(id);

/** The parts, with a hash in place of each long id. */
export const withShortIds = (parts: readonly PromptPart[]): readonly PromptPart[] =>
	parts.some(({id}) => id.length > maxIdChars) ? parts.map(part => ({...part, id: shortId(part.id)})) : parts;

/** Keys of all parts of a prompt but the last, which belongs to the request itself. */
export const sharedPartKeys = (parts: readonly PromptPart[]): string[] => parts.slice(0, -1).map(part => keyOf(part));

/** Whether a key is that of a part and not of a whole request. */
export const isPartKey = (key: string): boolean => key.startsWith(prefix);
