/** Schemas of the settings, orders, faults and requests of an engine stand-in. */
import {z} from 'zod';

/** Settings passed by the command line and by tests. */
export const engineSettingsSchema = z.strictObject({
	host: z.string().default('127.0.0.1').describe('Address to bind.'),
	port: z.number().int().min(0).max(65_535).default(0).describe('Port to bind; 0 takes any free one.'),
	name: z.string().default('engine').describe('Name in answers and logs.'),
	model: z.string().default('wordsmith').describe('Model that is loaded at the start.'),
	version: z.string().default('w1').describe('Weights version that is loaded at the start.'),
	pieceTokens: z.number().int().positive().default(1024).describe('Tokens in one cached piece.'),
	cachePieces: z.number().int().positive().default(256).describe('Pieces that fit into memory.'),
	prefillTokensPerMs: z.number().positive().default(40).describe('Prompt tokens computed in a millisecond.'),
	decodeMs: z.number().nonnegative().default(2).describe('Milliseconds between tokens when alone.'),
	slots: z.number().int().positive().default(8).describe('Requests that run at once.'),
	loadMs: z.number().nonnegative().default(400).describe('Milliseconds to load weights when three at most load.'),
	checksFencing: z.boolean().default(false).describe('Whether an order with an old fencing number is refused.'),
});

export type EngineSettings = z.infer<typeof engineSettingsSchema>;

/** An order to load weights, from an operator or a rollout. */
export const engineOrderSchema = z.strictObject({
	/** Fencing number; increases with each new owner of the rollout. */
	fencing: z.number().int().nonnegative(),
	action: z.literal('load'),
	model: z.string(),
	version: z.string(),
});

export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** A fault that a test injects. */
export const engineFaultSchema = z.discriminatedUnion('kind', [
	/** Drops all connections and restarts with an empty cache and a new incarnation. */
	z.strictObject({kind: z.literal('crash')}),
	/** All current requests stop responding for good; new ones work. */
	z.strictObject({kind: z.literal('silent')}),
	/** The engine crashes once, when a request reaches this many output tokens. */
	z.strictObject({kind: z.literal('crash-after'), tokens: z.number().int().positive()}),
	/** The next `count` cache events are lost. */
	z.strictObject({kind: z.literal('lose-events'), count: z.number().int().positive()}),
	/** The next `count` responses carry another request's id. */
	z.strictObject({kind: z.literal('cross'), count: z.number().int().positive()}),
]);

export type EngineFault = z.infer<typeof engineFaultSchema>;

/** The fields of a chat or completion request that the stand-in reads. */
export const generationSchema = z.looseObject({
	model: z.string(),
	messages: z.array(z.looseObject({role: z.string(), content: z.unknown()})).optional(),
	prompt: z.string().optional(),
	stream: z.boolean().default(false),
	max_tokens: z.number().int().positive().optional(),
	max_completion_tokens: z.number().int().positive().optional(),
	stream_options: z.looseObject({include_usage: z.boolean().optional()}).nullish(),
});

export type GenerationRequest = z.infer<typeof generationSchema>;

/** Concatenates the messages into one prompt text. */
export function promptTextOf(req: GenerationRequest): string {
	if (req.messages === undefined) {
		return req.prompt ?? '';
	}

	let text = '';
	for (const {role, content} of req.messages) {
		text += `<${role}>\n${typeof content === 'string' ? content : JSON.stringify(content)}\n`;
	}

	return text;
}
