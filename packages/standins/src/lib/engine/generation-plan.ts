/** Parses requests to an engine stand-in and builds its responses. */
import {randomUUID} from 'node:crypto';
import {type FastifyRequest} from 'fastify';
import xxhash from 'xxhash-wasm';
import {type GenerationRequest, promptTextOf} from './engine-settings.js';

const {h32ToString} = await xxhash();

/** Prompt bytes per token of the stand-in. */
export const standinBytesPerToken = 4;

const defaultOutputTokens = 16;
/** The word that the stand-in generates as token `index`. */
export function wordAt(version: string, adapter: string, prompt: string, index: number): string {
	return `${h32ToString(`${version}/${adapter}/${index}/${prompt.length}/${prompt.slice(-64)}`).slice(0, 5)} `;
}

/** The two APIs: chat completions and text completions. */
export type Form = 'chat' | 'text';

/** A parsed request. */
export type Plan = {
	id: string;
	form: Form;
	model: string;
	adapter: string;
	identity: string;
	prompt: string;
	promptTokens: number;
	outputTokens: number;
	resumeFrom: number;
	stream: boolean;
	includeUsage: boolean;
	priority: number;
	expectedVersion: string;
};

/** Token counts of one response. */
export type Usage = ReturnType<typeof usageOf>;

/** Parses a request. */
export function planOf(req: FastifyRequest, body: GenerationRequest, version: string, form: Form): Plan {
	const header = (name: string) => {
		const value = req.headers[name];
		return typeof value === 'string' ? value : '';
	};

	const prompt = promptTextOf(body);
	const adapter = body.model.split(':')[1] ?? '';
	return {
		id: header('x-request-id') || randomUUID(),
		form,
		model: body.model,
		adapter,
		identity: header('x-cache-identity') || `shared/${version}/${adapter}`,
		prompt,
		promptTokens: Math.ceil(prompt.length / standinBytesPerToken),
		outputTokens: body.max_completion_tokens ?? body.max_tokens ?? defaultOutputTokens,
		resumeFrom: Number(header('x-resume-from') || 0),
		stream: body.stream,
		includeUsage: body.stream_options?.include_usage === true,
		priority: Number(header('x-priority') || 0),
		expectedVersion: header('x-expect-version'),
	};
}

/** Returns the error for a request that cannot run now; `undefined` if it can. */
export function refusalOf(plan: Plan, loaded: {model: string; version: string}, loading: boolean) {
	if (loading) {
		return {status: 409, error: {message: 'The weights are being loaded.', code: 'version_mismatch'}};
	}

	if (plan.model.split(':')[0] !== loaded.model) {
		return {status: 404, error: {message: `This engine runs ${loaded.model}.`, code: 'model_not_found'}};
	}

	if (plan.expectedVersion !== '' && plan.expectedVersion !== loaded.version) {
		return {status: 409, error: {message: `This engine runs version ${loaded.version}.`, code: 'version_mismatch'}};
	}

	return undefined;
}

/** Returns the token counts of a response. */
export function usageOf(plan: Plan, cachedTokens: number) {
	return {
		prompt_tokens: plan.promptTokens,
		completion_tokens: plan.outputTokens,
		total_tokens: plan.promptTokens + plan.outputTokens,
		prompt_tokens_details: {cached_tokens: cachedTokens},
	};
}

const idPrefixes = {chat: 'chatcmpl', text: 'cmpl'} as const;

/** Body of one event of a streamed response. */
export function chunkOf(plan: Plan, word: string, finish: string | null) {
	const choice = plan.form === 'chat'
		? {index: 0, delta: {role: 'assistant', content: word}, finish_reason: finish}
		: {index: 0, text: word, finish_reason: finish};
	return {
		id: `${idPrefixes[plan.form]}-${plan.id}`,
		object: plan.form === 'chat' ? 'chat.completion.chunk' : 'text_completion',
		created: 0,
		model: plan.model,
		choices: [choice],
	};
}

/** Body of a non-streamed response. */
export function responseOf(plan: Plan, text: string, usage: Usage) {
	const choice = plan.form === 'chat'
		? {index: 0, message: {role: 'assistant', content: text}, finish_reason: 'length'}
		: {index: 0, text, finish_reason: 'length'};
	return {
		id: `${idPrefixes[plan.form]}-${plan.id}`,
		object: plan.form === 'chat' ? 'chat.completion' : 'text_completion',
		created: 0,
		model: plan.model,
		choices: [choice],
		usage,
	};
}
