/**
 * HTTP stand-in for the platform's services, with the API that
 * docs/platform-api.md describes. It keeps all data in memory and can inject faults.
 */
import {setTimeout as delay} from 'node:timers/promises';
import fastify, {type FastifyInstance, type FastifyReply} from 'fastify';
import {z} from 'zod';
import {createPlatformFaults, platformFaultSchema, type PlatformArea} from './faults.js';
import {createMemoryPlatform, type MemoryPlatform} from './memory-platform.js';

/** Options of {@link startPlatformStandin}. */
export type PlatformStandinOptions = {
	/** Address to bind to; `127.0.0.1` by default. */
	host?: string;
	/** Port to bind to; any free one by default. */
	port?: number;
};

/** A running platform stand-in. */
export type PlatformStandin = {
	url: string;
	memory: MemoryPlatform;
	close: () => Promise<void>;
};

const writeSchema = z.strictObject({
	key: z.string().min(1).max(512),
	value: z.string().max(65_536).nullable(),
	ifVersion: z.number().int().nonnegative().optional(),
});
const transactionSchema = z.strictObject({writes: z.array(writeSchema).min(1).max(25)});
const rowQuerySchema = z.strictObject({key: z.string().min(1)});
const rangeSchema = z.strictObject({
	prefix: z.string(), after: z.string().optional(), limit: z.coerce.number().int().positive().optional(),
});
const prefixSchema = z.strictObject({prefix: z.string().default('')});
const nameSchema = z.strictObject({name: z.string().min(1)});
const vmsSchema = z.array(z.strictObject({
	name: z.string(),
	role: z.enum(['entry', 'endpoint']),
	dataCentre: z.string(),
	address: z.string(),
	state: z.enum(['live', 'leaving']),
}));
const weightsSchema = z.array(z.strictObject({
	model: z.string(), version: z.string(), adapters: z.array(z.string()), bytes: z.number(),
}));

const maxObjectBytes = 64 * 1024 * 1024;

/** Starts the stand-in. */
export async function startPlatformStandin(options: PlatformStandinOptions = {}): Promise<PlatformStandin> {
	const memory = createMemoryPlatform();
	const faults = createPlatformFaults();
	const app = fastify({bodyLimit: maxObjectBytes});
	app.addContentTypeParser('application/octet-stream', {parseAs: 'buffer'}, (_req, body, done) => {
		done(null, body);
	});
	app.setErrorHandler(async (error, _req, reply) => {
		if (error instanceof z.ZodError) {
			return reply.code(400).send({error: z.prettifyError(error)});
		}

		return reply.send(error);
	});

	/** Runs an action, subject to the active fault of its area. */
	const withFault = async (area: PlatformArea, reply: FastifyReply, action: () => Promise<unknown>) => {
		const fault = faults.next(area);
		if (fault?.kind === 'down') {
			return reply.code(503).send({error: 'The stand-in was told to be down.'});
		}

		if (fault?.kind === 'slow') {
			await delay(fault.ms);
		}

		const answer = await action();
		if (fault?.kind === 'lost') {
			void reply.hijack();
			reply.raw.destroy();
			return reply;
		}

		return answer;
	};

	addTableRoutes(app, memory, withFault);
	addObjectRoutes(app, memory, withFault);
	app.get('/weights', async (_req, reply) => withFault('weights', reply, async () => ({weights: await memory.weights.list()})));
	app.get('/vms', async (_req, reply) => withFault('vms', reply, async () => memory.vms.read()));
	app.put('/control/vms', async req => {
		memory.setVms(vmsSchema.parse(req.body));
		return {};
	});
	app.put('/control/weights', async req => {
		memory.setWeights(weightsSchema.parse(req.body));
		return {};
	});
	app.post('/control/faults', async req => {
		faults.set(platformFaultSchema.parse(req.body));
		return {};
	});
	app.get('/control/use', async () => memory.use);

	const url = await app.listen({host: options.host ?? '127.0.0.1', port: options.port ?? 0});
	return {
		url,
		memory,
		async close() {
			app.server.closeAllConnections();
			await app.close();
		},
	};
}

type WithFault = (area: PlatformArea, reply: FastifyReply, action: () => Promise<unknown>) => Promise<unknown>;

function addTableRoutes(app: FastifyInstance, memory: MemoryPlatform, withFault: WithFault): void {
	app.get('/table/row', async (req, reply) => withFault('table', reply, async () => {
		const {key} = rowQuerySchema.parse(req.query);
		const row = await memory.table.get(key);
		return row ?? reply.code(404).send({error: 'There is no such row.'});
	}));
	app.get('/table/rows', async (req, reply) => withFault('table', reply, async () => {
		const {prefix, after, limit} = rangeSchema.parse(req.query);
		const range = {prefix, ...(after !== undefined && {after}), ...(limit !== undefined && {limit})};
		return {rows: await memory.table.list(range)};
	}));
	app.post('/table/transactions', async (req, reply) => withFault('table', reply, async () => {
		const {writes} = transactionSchema.parse(req.body);
		return memory.table.transact(writes.map(({key, value, ifVersion}) => ({
			key, value, ...(ifVersion !== undefined && {ifVersion}),
		})));
	}));
}

function addObjectRoutes(app: FastifyInstance, memory: MemoryPlatform, withFault: WithFault): void {
	app.get('/objects', async (req, reply) => withFault('objects', reply, async () => {
		const {prefix} = prefixSchema.parse(req.query);
		return {names: await memory.objects.list(prefix)};
	}));
	app.get('/objects/:name', async (req, reply) => withFault('objects', reply, async () => {
		const {name} = nameSchema.parse(req.params);
		const content = await memory.objects.get(name);
		if (content === undefined) {
			return reply.code(404).send({error: 'There is no such object.'});
		}

		return reply.type('application/octet-stream').send(content);
	}));
	app.put('/objects/:name', async (req, reply) => withFault('objects', reply, async () => {
		const {name} = nameSchema.parse(req.params);
		const ifAbsent = req.headers['if-none-match'] === '*';
		const stored = await memory.objects.put(name, z.instanceof(Uint8Array).parse(req.body), {ifAbsent});
		return stored ? {} : reply.code(409).send({error: 'The object stands already.'});
	}));
	app.delete('/objects/:name', async (req, reply) => withFault('objects', reply, async () => {
		const {name} = nameSchema.parse(req.params);
		await memory.objects.remove(name);
		return {};
	}));
}
