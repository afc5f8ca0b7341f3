/** What an engine reports of the tokens that an answer took. */
import {z} from 'zod';

const usageSchema = z.looseObject({
	prompt_tokens: z.number().int().nonnegative(),
	completion_tokens: z.number().int().nonnegative(),
	prompt_tokens_details: z.looseObject({cached_tokens: z.number().int().nonnegative().optional()}).nullish(),
});

const carrierSchema = z.looseObject({
	usage: usageSchema.nullish(),
	choices: z.array(z.unknown()).optional(),
});

/** Tokens of one answer. */
export type TokenUsage = {
	promptTokens: number;
	cachedTokens: number;
	outputTokens: number;
};

/** Cheap test that spares most events the parse. */
export function mayCarryUsage(data: string): boolean {
	return data.includes('"usage":{');
}

/** Reads the usage of an answer or event; `undefined` when it has none. */
export function readUsage(json: string): (TokenUsage & {alone: boolean}) | undefined {
	let value: unknown;
	try {
		value = JSON.parse(json);
	} catch {
		return undefined;
	}

	const {data} = carrierSchema.safeParse(value);
	if (data?.usage === undefined || data.usage === null) {
		return undefined;
	}

	return {
		promptTokens: data.usage.prompt_tokens,
		cachedTokens: data.usage.prompt_tokens_details?.cached_tokens ?? 0,
		outputTokens: data.usage.completion_tokens,
		alone: data.choices?.length === 0,
	};
}
