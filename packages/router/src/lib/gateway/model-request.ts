/** Validates model requests and prepares the body for engines. */
import {z} from 'zod';
import {formatPath} from '../configuration/parse-document.js';
import {GatewayError} from './gateway-errors.js';

/** Paths of the two supported request formats, chat and text completion. */
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

/** Fields that the router needs; all others are passed through. */
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

/** Output token limits from the daemon's settings. */
export type ModelRequestBounds = {
	/** Limit for requests that set none. */
	defaultOutputTokens: number;
	/** Largest limit that a request may set. */
	largestOutputTokens: number;
};

/** A validated request. */
export type ModelRequest = {
	form: ModelForm;
	model: string;
	/** Empty for the base model. */
	adapter: string;
	stream: boolean;
	/** Whether the caller requested the usage event of a stream. */
	wantsUsage: boolean;
	/** The prompt as one text, its parts joined in order. */
	prompt: string;
	/** Maximum number of output tokens over all choices. */
	maxOutputTokens: number;
	/** Body of the request to the engine. */
	engineBody: string;
};

/**
 * Validates a body and prepares the one for the engine. It always sets the output
 * limit, since admission charges tokens by it, and always requests the usage
 * report of streams, since the charge is settled by it.
 *
 * @throws {GatewayError} `invalid_request` with the path of the invalid field.
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
