/** Input of the endpoint choice. */
import {type PromptPart} from '../fleet/call-headers.js';

/** A request that needs an endpoint. */
export type ChoiceRequest = {
	service: string;
	/** Set for requests to model engines. */
	prompt: PromptNeed | undefined;
	/** Endpoints that were tried already. */
	excluded: ReadonlySet<string>;
};

/** Requirements of a request to a model engine. */
export type PromptNeed = {
	model: string;
	/** Ordered from the root; the last part is unique to the request. */
	parts: readonly PromptPart[];
	promptTokens: number;
	outputTokens: number;
	/** Isolates cached parts of this workspace from others; empty when shared. */
	wall: string;
};

/** A prompt part with its tokens, as reports carry it. */
export type PromptPartTokens = [id: string, tokens: number];

/** The parts that other requests may share: all but the last. */
export const sharedPartsOf = ({parts}: PromptNeed): readonly PromptPart[] => parts.slice(0, -1);

/** Cache scope of a prompt: its isolation and the weights version. */
export const scopeOf = ({wall}: PromptNeed, weights: number | undefined): string => `${wall}:${weights ?? 0}`;

/** Cache key of a part within a scope. */
export const partKey = (scope: string, part: string): string => `${scope} ${part}`;

/** Cache keys of a prompt's shared parts under these weights. */
export function partKeys(prompt: PromptNeed, weights: number | undefined): string[] {
	const scope = scopeOf(prompt, weights);
	return sharedPartsOf(prompt).map(part => partKey(scope, part.id));
}

/** Tokens of the leading shared parts for which `isHeld` returns true; it gets a part's index. */
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
