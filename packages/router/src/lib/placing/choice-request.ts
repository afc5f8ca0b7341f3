/** Input of the endpoint choice, and the cache keys of prompt parts. */
import {type PromptPart} from '../fleet/call-headers.js';

/** A request that needs an endpoint. */
export type ChoiceRequest = {
	service: string;
	/** `undefined` for services without engines. */
	prompt: PromptNeed | undefined;
	/** Ids of endpoints that were already tried. */
	excluded: ReadonlySet<string>;
	/** The only software version that may get the request; any if `undefined`. */
	software?: string | undefined;
	/** Latency and size that decide on whether it leaves its data centre; without them, distance counts as delay only. */
	distance?: RequestDistance | undefined;
};

/** What distance between data centres means to a request. */
export type RequestDistance = {
	/** Target latency, and what is left of it. */
	targetMs: number;
	leftMs: number;
	/** 0 is the most urgent. */
	rank: number;
	/** Bytes of the request's body. */
	bodyBytes: number;
};

/** Prompt of a request to a model engine: its parts, size and cache isolation. */
export type PromptNeed = {
	model: string;
	/** Ordered from the root; the last part is unique to the request. */
	parts: readonly PromptPart[];
	promptTokens: number;
	outputTokens: number;
	/** Name of an isolated workspace, which shares no cached parts with others; empty if not isolated. */
	isolationKey: string;
};

/** A prompt part and its token count, as encoded in peer reports. */
export type PromptPartTokens = [id: string, tokens: number];

/** Parts that other requests may share: all but the last. */
export const sharedPartsOf = ({parts}: PromptNeed): readonly PromptPart[] => parts.slice(0, -1);

/** Cache scope of a prompt: its isolation key and the weights version. */
export const scopeOf = ({isolationKey}: PromptNeed, weights: number | undefined): string => `${isolationKey}:${weights ?? 0}`;

/** Cache key of a part within a scope. */
export const partKey = (scope: string, part: string): string => `${scope} ${part}`;

/** A key of a peer that is longer names no part that a daemon would report. */
const maxKeyChars = 512;

export const isPartKeyTooLong = (key: string): boolean => key.length > maxKeyChars;

/** Cache keys of a prompt's shared parts under these weights. */
export function partKeys(prompt: PromptNeed, weights: number | undefined): string[] {
	const scope = scopeOf(prompt, weights);
	return sharedPartsOf(prompt).map(part => partKey(scope, part.id));
}

/** Total tokens of the leading shared parts whose index satisfies `isHeld`. */
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
