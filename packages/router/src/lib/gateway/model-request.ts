/** A caller's request for a model: checked, and made ready for engines. */
import {z} from 'zod';
import {formatPath} from '../configuration/parse-document.js';
import {GatewayError} from './gateway-errors.js';

/** The two forms of the usual API. */
export const modelForms = {
	chat: '/v1/chat/completions',
	text: '/v1/completions',
} as const;

export type ModelForm = keyof typeof modelForms;

const tokenCount = z.number().int().positive();
const streamOptions = z.looseObject({include_usage: z.boolean().optional()}).nullish();
const shared = {
	model: z.string().min(1),
	stream: z.boolean().nullish(),
	stream_options: streamOptions,
	max_tokens: tokenCount.nullish(),
	n: z.number().int().min(1).nullish(),
};

/** Fields that routing needs; all others pass through unread. */
const requestSchemas = {
	chat: z.looseObject({
		...shared,
		max_completion_tokens: tokenCount.nullish(),
		messages: z.array(z.looseObject({role: z.string(), content: z.unknown()})).min(1),
	}),
	text: z.looseObject({
		...shared,
		prompt: z.union([z.string(), z.array(z.string()).min(1)]),
	}),
} as const;

/** Bounds that the daemon's settings give. */
export type ModelRequestBounds = {
	/** Output tokens allowed to a request that names none. */
	defaultOutputTokens: number;
	/** Most output tokens that one request may ask for. */
	largestOutputTokens: number;
};

/** A checked request. */
export type ModelRequest = {
	form: ModelForm;
	model: string;
	/** Empty for the bare model. */
	adapter: string;
	stream: boolean;
	/** Whether the caller asked for the usage event of a stream. */
	wantsUsage: boolean;
	/** The prompt as one text, each part after the part before it. */
	prompt: string;
	/** Most tokens that may come back, over all choices. */
	maxOutputTokens: number;
	/** What goes to the engine. */
	engineBody: string;
};

/**
 * Checks a body and prepares what the engine gets: the output bound is always
 * stated, since the charge at admission rests on it, and streams always
 * report their usage, since the charge is settled by it.
 *
 * @throws {GatewayError} `invalid_request` with the path of the wrong field.
 */
export function parseModelRequest(form: ModelForm, input: unknown, bounds: ModelRequestBounds): ModelRequest {
	const result = requestSchemas[form].safeParse(input);
	if (!result.success) {
		const [issue] = result.error.issues;
		throw new GatewayError('invalid_request', `${formatPath(issue.path)}: ${issue.message}`);
	}

	const body = result.data;
	const [model, adapter = ''] = body.model.split(':', 2);
	const asked = askedOutputTokens(body) ?? Math.min(bounds.defaultOutputTokens, bounds.largestOutputTokens);
	if (asked > bounds.largestOutputTokens) {
		throw new GatewayError('invalid_request', `max_tokens: at most ${bounds.largestOutputTokens} can be asked for`);
	}

	const stream = body.stream === true;
	return {
		form,
		model,
		adapter,
		stream,
		wantsUsage: body.stream_options?.include_usage === true,
		prompt: promptOf(body),
		maxOutputTokens: asked * (body.n ?? 1),
		engineBody: JSON.stringify({
			...body,
			[body.max_completion_tokens === undefined || body.max_completion_tokens === null ? 'max_tokens' : 'max_completion_tokens']: asked,
			...(stream && {stream_options: {...body.stream_options, include_usage: true}}),
		}),
	};
}

type Body = z.infer<typeof requestSchemas[ModelForm]>;

function askedOutputTokens(body: Body): number | undefined {
	const chatTokens = typeof body.max_completion_tokens === 'number' ? body.max_completion_tokens : undefined;
	return chatTokens ?? body.max_tokens ?? undefined;
}

function promptOf(body: Body): string {
	if ('messages' in body && Array.isArray(body.messages)) {
		return promptOfMessages(body.messages as Array<{role: string; content: unknown}>);
	}

	return typeof body.prompt === 'string' ? body.prompt : (body.prompt as string[]).join('\n');
}

function promptOfMessages(messages: ReadonlyArray<{role: string; content: unknown}>): string {
	let text = '';
	for (const {role, content} of messages) {
		text += `<${role}>\n${typeof content === 'string' ? content : JSON.stringify(content ?? null)}\n`;
	}

	return text;
}
