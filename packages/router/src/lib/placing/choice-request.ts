/** What a request asks of the choice of its endpoint. */
import {type PromptPart} from '../fleet/call-headers.js';

/** A request that is to be placed. */
export type ChoiceRequest = {
	service: string;
	/** Set for a request to a model engine. */
	prompt: PromptNeed | undefined;
	/** Endpoints that have had this request already. */
	excluded: ReadonlySet<string>;
};

/** What a request to a model engine asks for. */
export type PromptNeed = {
	model: string;
	/** From the shallowest to the deepest; the last one is the request's own. */
	parts: readonly PromptPart[];
	promptTokens: number;
	outputTokens: number;
	/** Text that isolates cached parts of this workspace from others. */
	wall: string;
};

/** A part of a prompt with its tokens, as reports hold it. */
export type PromptPartTokens = [id: string, tokens: number];

/** The parts of a prompt that other requests may share: all but its own. */
export const sharedPartsOf = ({parts}: PromptNeed): readonly PromptPart[] => parts.slice(0, -1);

/** Text under which an engine with these weights keeps the prompt's parts: apart by wall, and by weights. */
export const scopeOf = ({wall}: PromptNeed, weights: number | undefined): string => `${wall}:${weights ?? 0}`;

/** What makes a cached copy of a part distinct: the scope under which it is kept, and the part. */
export const partKey = (scope: string, part: string): string => `${scope} ${part}`;

/** Keys of a prompt's shared parts as engines with these weights and the store keep them. */
export function partKeys(prompt: PromptNeed, weights: number | undefined): string[] {
	const scope = scopeOf(prompt, weights);
	return sharedPartsOf(prompt).map(part => partKey(scope, part.id));
}

/** Tokens of the shared parts from the first one on, up to the first that is not held; `isHeld` gets a part's index. */
export function leadingTokens(prompt: PromptNeed, isHeld: (index: number) => boolean): number {
	let tokens = 0;
	for (const [index, part] of sharedPartsOf(prompt).entries()) {
		if (!isHeld(index)) {
			break;
		}

		tokens += part.tokens;
	}

	return tokens;
}
