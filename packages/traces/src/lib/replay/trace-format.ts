/**
 * The trace format: NDJSON, one object per line, the header first. Types are
 * inferred from the schemas; docs/traces.md documents the lines.
 */
import {z} from 'zod';

/** The newest trace layout that this build reads. */
export const traceLayout = 1;

const atMs = z.number().nonnegative().describe('Milliseconds since the start of the trace.');

const endpointSchema = z.strictObject({
	name: z.string().min(1),
	service: z.string().min(1),
	dataCentre: z.string().min(1),
	prefillTokensPerSecond: z.number().positive().describe('Prompt tokens computed in a second while nothing else runs.'),
	decodeMsPerToken: z.number().positive().describe('Milliseconds for one generated token while nothing else runs.'),
	batch: z.number().int().positive().describe('Requests worked on at once.'),
	cachePieces: z.number().int().nonnegative().describe('Pieces that the prefix cache holds.'),
});

const outcomesSchema = z.strictObject({
	hitRateOfBest: z.number().optional().describe('Least hit rate, as a share of the best possible.'),
	p99FirstTokenMs: z.number().optional().describe('Longest time to first token for 99 in 100.'),
	wrongfulRefusals: z.number().int().nonnegative().optional().describe('Most requests refused.'),
});

const headerSchema = z.strictObject({
	kind: z.literal('header'),
	layout: z.number().int().positive(),
	name: z.string().min(1),
	about: z.string(),
	seed: z.number().int().describe('Seed of everything random in a replay.'),
	routers: z.number().int().positive().describe('Routers that share the requests.'),
	pieceTokens: z.number().int().positive().describe('Tokens in one piece of the prefix cache.'),
	endpoints: z.array(endpointSchema).min(1),
	outcomes: outcomesSchema.describe('What a replay of the product is expected to reach.'),
});

const requestSchema = z.strictObject({
	kind: z.literal('request'),
	atMs,
	workspace: z.string().min(1),
	service: z.string().min(1),
	version: z.string(),
	adapter: z.string(),
	parts: z.array(z.tuple([z.string(), z.number().int().positive()])).min(1)
		.describe('The prompt as nested parts: the name of a text and its tokens. Equal names mean equal texts.'),
	outputTokens: z.number().int().positive(),
});

const crashSchema = z.strictObject({
	kind: z.literal('crash'),
	atMs,
	endpoints: z.array(z.string()).min(1).describe('Engines that stop at once; several for a rack.'),
	downMs: z.number().positive().describe('Time until they are back, empty.'),
});

const restartSchema = z.strictObject({
	kind: z.literal('router-restart'),
	atMs,
	routers: z.array(z.number().int().nonnegative()).min(1).describe('Routers, counted from 0, that start anew and know nothing.'),
});

const eventsLostSchema = z.strictObject({
	kind: z.literal('events-lost'),
	atMs,
	untilMs: z.number().nonnegative().describe('Cache events and load reports are lost until then.'),
});

const silentSchema = z.strictObject({
	kind: z.literal('silent'),
	atMs,
	router: z.number().int().nonnegative(),
	endpoint: z.string().describe('Connections between the two, open at that time, go silent for good; new ones work.'),
});

/** One line of a trace. */
export const traceLineSchema = z.discriminatedUnion('kind', [headerSchema, requestSchema, crashSchema, restartSchema, eventsLostSchema, silentSchema]);

export type TraceHeader = z.infer<typeof headerSchema>;
export type TraceEndpoint = z.infer<typeof endpointSchema>;
export type TraceRequest = z.infer<typeof requestSchema>;
export type TraceFault = z.infer<typeof crashSchema> | z.infer<typeof restartSchema> | z.infer<typeof eventsLostSchema> | z.infer<typeof silentSchema>;
export type TraceLine = z.infer<typeof traceLineSchema>;

/** A complete trace; requests and faults are sorted by time. */
export type Trace = {
	header: TraceHeader;
	requests: TraceRequest[];
	faults: TraceFault[];
};
