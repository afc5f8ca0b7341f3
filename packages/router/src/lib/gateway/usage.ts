/** Token usage reports of engines. */
import {z} from 'zod';

const usageSchema = z.looseObject({
	prompt_tokens: z.number().int().nonnegative(),
	completion_tokens: z.number().int().nonnegative(),
	prompt_tokens_details: z.looseObject({cached_tokens: z.number().int().nonnegative().optional()}).nullish(),
});

const responseSchema = z.looseObject({
	usage: usageSchema.nullish(),
	choices: z.array(z.unknown()).optional(),
});

/** Token counts of one response. */
export type TokenUsage = {
	promptTokens: number;
	cachedTokens: number;
	outputTokens: number;
};

/** Cheap check that avoids parsing most events. */
export function mayCarryUsage(data: string): boolean {
	return data.includes('"usage":{');
}

/** Reads the usage of a response or event; `undefined` when it has none. `isUsageOnly` marks an event without choices. */
export function readUsage(json: string): (TokenUsage & {isUsageOnly: boolean}) | undefined {
	let value: unknown;
	try {
		value = JSON.parse(json);
	} catch {
		return undefined;
	}

	const {data} = responseSchema.safeParse(value);
	if (data?.usage === undefined || data.usage === null) {
		return undefined;
	}

	return {
		promptTokens: data.usage.prompt_tokens,
		cachedTokens: data.usage.prompt_tokens_details?.cached_tokens ?? 0,
		outputTokens: data.usage.completion_tokens,
		isUsageOnly: data.choices?.length === 0,
	};
}
