/**
 * A small inference engine: the usual HTTP API for language models, a prefix
 * cache, batching, cancellation, resuming, orders and faults. Its output depends
 * only on version, adapter, prompt and position, so a resumed stream can be
 * checked token by token.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import fastify, {type FastifyReply, type FastifyRequest} from 'fastify';
import {z} from 'zod';
import {createBatch} from './batch.js';
import {
	type EngineFault, engineFaultSchema, engineOrderSchema, type EngineSettings, engineSettingsSchema,
	generationSchema,
} from './engine-settings.js';
import {
	responseOf, chunkOf, type Form, type Plan, planOf, refusalOf, standinBytesPerToken, type Usage, usageOf, wordAt,
} from './generation-plan.js';
import {type CacheEvent, createPrefixCache, type PrefixCache} from './prefix-cache.js';

const maxFullSpeedLoads = 3;
const maxRetainedEvents = 4096;
const maxBodyBytes = 32 * 1024 * 1024;

/** A running engine stand-in. */
export type EngineStandin = {
	url: string;
	/** How often the engine started each request, by request id. */
	served: Map<string, number>;
	/** Ids of requests that their caller cancelled. */
	cancelled: Set<string>;
	/** Headers of every generation request, in order of arrival. */
	seenHeaders: Array<Record<string, unknown>>;
	state: () => EngineState;
	fault: (fault: EngineFault) => void;
	close: () => Promise<void>;
};

/** State that an engine reports. */
export type EngineState = {
	name: string;
	incarnation: string;
	model: string;
	version: string;
	loading: boolean;
	running: number;
	waiting: number;
	pendingPromptTokens: number;
	cachedPieces: number;
	fencing: number;
};

/** Stand-ins of one process share a weight store, so concurrent loads slow each other down. */
let activeLoads = 0;

/** Starts an engine stand-in. */
export async function startEngineStandin(input: z.input<typeof engineSettingsSchema> = {}): Promise<EngineStandin> {
	const settings = engineSettingsSchema.parse(input);
	const engine = createEngine(settings);
	const app = fastify({bodyLimit: maxBodyBytes});
	app.setErrorHandler(async (error, _req, reply) => {
		if (error instanceof z.ZodError) {
			return reply.code(400).send({error: {message: z.prettifyError(error), type: 'invalid_request_error', code: 'invalid'}});
		}

		return reply.send(error);
	});
	app.post('/v1/chat/completions', async (req, reply) => engine.generate(req, reply, 'chat'));
	app.post('/v1/completions', async (req, reply) => engine.generate(req, reply, 'text'));
	app.get('/v1/models', async () => ({object: 'list', data: [{id: engine.state().model, object: 'model'}]}));
	app.get('/engine/state', async () => engine.state());
	app.get('/engine/events', async req => engine.eventsAfter(z.looseObject({after: z.coerce.number().default(0)}).parse(req.query).after));
	app.post('/engine/orders', async (req, reply) => engine.applyOrder(engineOrderSchema.parse(req.body), reply));
	app.post('/engine/requests/:id/cancel', async req => engine.cancel(z.looseObject({id: z.string()}).parse(req.params).id));
	app.post('/control/faults', async req => {
		engine.fault(engineFaultSchema.parse(req.body));
		return {};
	});
	const url = await app.listen({host: settings.host, port: settings.port});
	return {
		url,
		served: engine.served,
		cancelled: engine.cancelled,
		seenHeaders: engine.seenHeaders,
		state: engine.state,
		fault: engine.fault,
		async close() {
			app.server.closeAllConnections();
			await app.close();
		},
	};
}

type ActiveRequest = {id: string; abort: AbortController; reply: FastifyReply; silent: boolean};

type Engine = Pick<EngineStandin, 'served' | 'cancelled' | 'seenHeaders' | 'state' | 'fault'> & {
	generate: (req: FastifyRequest, reply: FastifyReply, form: Form) => Promise<unknown>;
	eventsAfter: (after: number) => {incarnation: string; events: CacheEvent[]};
	applyOrder: (order: z.infer<typeof engineOrderSchema>, reply: FastifyReply) => unknown;
	cancel: (id: string) => {cancelled: boolean};
};

function createEngine(settings: EngineSettings): Engine {
	const batch = createBatch(settings);
	const activeRequests = new Set<ActiveRequest>();
	const served = new Map<string, number>();
	const cancelled = new Set<string>();
	const seenHeaders: Engine['seenHeaders'] = [];
	let events: CacheEvent[] = [];
	let eventsToLose = 0;
	let responsesToCross = 0;
	let crashAfter: number | undefined;
	let incarnation: string = randomUUID();
	let loaded = {model: settings.model, version: settings.version};
	let loading = false;
	let fencing = 0;
	let cache = createCache();

	function createCache(): PrefixCache {
		return createPrefixCache({
			capacity: settings.cachePieces,
			pieceBytes: settings.pieceTokens * standinBytesPerToken,
			onEvent(event) {
				if (eventsToLose > 0) {
					eventsToLose--;
					return;
				}

				events.push(event);
				events = events.slice(-maxRetainedEvents);
			},
		});
	}

	function state(): EngineState {
		return {
			name: settings.name,
			incarnation,
			...loaded,
			loading,
			running: batch.running(),
			waiting: batch.waiting(),
			pendingPromptTokens: batch.pendingPromptTokens(),
			cachedPieces: cache.size,
			fencing,
		};
	}

	/** Drops all requests without a response, as a killed process does. */
	function crash(): void {
		for (const activeRequest of activeRequests) {
			activeRequest.abort.abort();
			activeRequest.reply.raw.destroy();
		}

		activeRequests.clear();
		events = [];
		incarnation = randomUUID();
		cache = createCache();
	}

	const faults: {[Kind in EngineFault['kind']]: (fault: Extract<EngineFault, {kind: Kind}>) => void} = {
		crash,
		silent() {
			for (const activeRequest of activeRequests) {
				activeRequest.silent = true;
			}
		},
		'crash-after'(fault) {
			crashAfter = fault.tokens;
		},
		'lose-events'(fault) {
			eventsToLose = fault.count;
		},
		cross(fault) {
			responsesToCross = fault.count;
		},
	};

	async function loadWeights(model: string, version: string): Promise<void> {
		loading = true;
		while (activeRequests.size > 0) {
			await delay(1);
		}

		activeLoads++;
		await delay(settings.loadMs * Math.max(1, activeLoads / maxFullSpeedLoads));
		activeLoads--;
		loaded = {model, version};
		cache = createCache();
		loading = false;
	}

	return {
		served,
		cancelled,
		seenHeaders,
		state,
		fault(fault) {
			(faults[fault.kind] as (fault: EngineFault) => void)(fault);
		},
		eventsAfter: after => ({incarnation, events: events.filter(event => event.sequence > after)}),
		applyOrder(order, reply) {
			if (settings.checksFencing && order.fencing < fencing) {
				return reply.code(409).send({error: {message: `Fencing number ${order.fencing} is older than ${fencing}.`, code: 'fenced'}});
			}

			fencing = Math.max(fencing, order.fencing);
			void loadWeights(order.model, order.version);
			return reply.code(202).send(state());
		},
		cancel(id) {
			for (const activeRequest of activeRequests) {
				if (activeRequest.id === id) {
					cancelled.add(id);
					activeRequest.abort.abort();
					activeRequest.reply.raw.destroy();
					return {cancelled: true};
				}
			}

			return {cancelled: false};
		},
		async generate(req, reply, form) {
			const body = generationSchema.parse(req.body);
			seenHeaders.push({...req.headers});
			const plan = planOf(req, body, loaded.version, form);
			const refusal = refusalOf(plan, loaded, loading);
			if (refusal !== undefined) {
				return reply.code(refusal.status).headers(headersOf()).send({error: refusal.error});
			}

			const activeRequest: ActiveRequest = {
				id: plan.id, abort: new AbortController(), reply, silent: false,
			};
			activeRequests.add(activeRequest);
			served.set(plan.id, (served.get(plan.id) ?? 0) + 1);
			reply.raw.on('close', () => {
				if (!reply.raw.writableFinished && activeRequests.has(activeRequest)) {
					cancelled.add(plan.id);
					activeRequest.abort.abort();
				}
			});
			void reply.hijack();
			try {
				await run(activeRequest, plan);
			} catch (error) {
				if (!activeRequest.abort.signal.aborted) {
					throw error;
				}
			} finally {
				activeRequests.delete(activeRequest);
			}

			return reply;
		},
	};

	function headersOf(id?: string): Record<string, string> {
		const {running, waiting, pendingPromptTokens} = state();
		return {
			'x-engine-incarnation': incarnation,
			'x-engine-version': loaded.version,
			'x-engine-load': `${running},${waiting},${pendingPromptTokens}`,
			...(id !== undefined && {'x-request-id': id}),
		};
	}

	async function run(activeRequest: ActiveRequest, plan: Plan): Promise<void> {
		const {signal} = activeRequest.abort;
		const leave = await batch.enter(plan.priority, signal);
		try {
			const found = cache.lookUp(plan.identity, plan.prompt);
			const cachedTokens = found.cached * settings.pieceTokens;
			await batch.prefill(Math.max(0, plan.promptTokens - cachedTokens), signal);
			cache.store(plan.identity, plan.prompt);
			const crossed = responsesToCross > 0;
			responsesToCross -= crossed ? 1 : 0;
			const usage = usageOf(plan, cachedTokens);
			const servedPlan = crossed ? {...plan, id: `crossed-${plan.id}`, prompt: 'of another request'} : plan;
			const headers = headersOf(servedPlan.id);
			await (plan.stream ? streamResponse(activeRequest, servedPlan, usage, headers) : sendResponse(activeRequest, servedPlan, usage, headers));
		} finally {
			leave();
		}
	}

	async function nextWord(activeRequest: ActiveRequest, plan: Plan, index: number): Promise<string> {
		await batch.decode(activeRequest.abort.signal);
		if (crashAfter !== undefined && index >= crashAfter) {
			crashAfter = undefined;
			crash();
		}

		activeRequest.abort.signal.throwIfAborted();
		return wordAt(loaded.version, plan.adapter, plan.prompt, index);
	}

	async function streamResponse(activeRequest: ActiveRequest, plan: Plan, usage: Usage, headers: Record<string, string>): Promise<void> {
		const {raw} = activeRequest.reply;
		raw.writeHead(200, {...headers, 'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		const write = (id: number, data: string) => {
			if (!activeRequest.silent) {
				raw.write(`id: ${id}\ndata: ${data}\n\n`);
			}
		};

		for (let index = plan.resumeFrom; index < plan.outputTokens; index++) {
			const word = await nextWord(activeRequest, plan, index);
			write(index, JSON.stringify(chunkOf(plan, word, null)));
			if (raw.writableNeedDrain) {
				await delay(1);
			}
		}

		write(plan.outputTokens, JSON.stringify(chunkOf(plan, '', 'length')));
		if (plan.includeUsage) {
			write(plan.outputTokens + 1, JSON.stringify({...chunkOf(plan, '', null), choices: [], usage}));
		}

		if (activeRequest.silent) {
			return;
		}

		raw.end('data: [DONE]\n\n');
	}

	async function sendResponse(activeRequest: ActiveRequest, plan: Plan, usage: Usage, headers: Record<string, string>): Promise<void> {
		let text = '';
		for (let index = 0; index < plan.outputTokens; index++) {
			text += await nextWord(activeRequest, plan, index);
		}

		if (activeRequest.silent) {
			return;
		}

		const {raw} = activeRequest.reply;
		raw.writeHead(200, {...headers, 'content-type': 'application/json'});
		raw.end(JSON.stringify(responseOf(plan, text, usage)));
	}
}
