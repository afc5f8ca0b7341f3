/**
 * HTTP client of the platform, in the format that docs/platform-api.md specifies.
 */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'undici';
import {z} from 'zod';
import {readWhole} from '../buffers/read-whole.js';
import {createAnswerLimits} from '../time/answer-limits.js';
import {PlatformProtocolError, PlatformRequestError, PlatformUnavailableError} from './platform-errors.js';
import {
	type ObjectClient, type Platform, type TableClient, type VmListClient, type WeightClient,
} from './platform.js';

const rowSchema = z.object({key: z.string(), value: z.string(), version: z.number().int()});
const rowsSchema = z.object({rows: z.array(rowSchema)});
const transactionSchema = z.discriminatedUnion('committed', [
	z.object({committed: z.literal(true), versions: z.record(z.string(), z.number())}),
	z.object({
		committed: z.literal(false),
		conflicts: z.array(z.object({key: z.string(), version: z.number()})),
	}),
]);
const namesSchema = z.object({names: z.array(z.string())});
const weightsSchema = z.object({
	weights: z.array(z.object({
		model: z.string(), version: z.string(), adapters: z.array(z.string()), bytes: z.number(),
	})),
});
const vmListSchema = z.object({
	version: z.number().int(),
	vms: z.array(z.object({
		name: z.string(),
		role: z.enum(['entry', 'endpoint']),
		dataCentre: z.string(),
		address: z.string(),
		state: z.enum(['live', 'leaving']),
	})),
});

/** Options of {@link createHttpPlatform}. */
export type HttpPlatformOptions = {
	/** URL of the service, such as `http://10.0.0.5:7000`. */
	baseUrl: string;
	/** Timeout of a call in milliseconds, unless the platform usually takes longer; 2,000 by default. */
	timeoutMs?: number;
};

type Call = {
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	path: string;
	query?: Record<string, string>;
	headers?: Record<string, string>;
	body?: string | Uint8Array;
	/** Whether the call may write; when its answer is lost, the write may still have been applied. */
	writes: boolean;
};

type Answer = {status: number; body: Uint8Array};

const statusOk = 200;
const statusConflict = 409;
const statusNotFound = 404;
const statusBadRequest = 400;
const statusServerError = 500;
const defaultTimeoutMs = 2000;

type Transport = (call: Call) => Promise<Answer>;

/**
 * Creates a client for the platform's services.
 *
 * @example
 * const platform = createHttpPlatform({baseUrl: 'http://127.0.0.1:7000'});
 * await platform.table.get('configuration/head');
 */
export function createHttpPlatform(options: HttpPlatformOptions): Platform & {close: () => Promise<void>} {
	const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
	const agent = new Agent({connect: {timeout: timeoutMs}, headersTimeout: 0, bodyTimeout: 0});
	const limits = createAnswerLimits();
	const send: Transport = async call => {
		const url = new URL(call.path, options.baseUrl);
		for (const [name, value] of Object.entries(call.query ?? {})) {
			url.searchParams.set(name, value);
		}

		let answer: Answer;
		try {
			answer = await limits.call(kindOf(call), {answerMs: timeoutMs, isRepeatable: !call.writes}, async ({signal}) => {
				const res = await request(url, {
					method: call.method,
					headers: call.headers ?? {},
					body: call.body ?? null,
					dispatcher: agent,
					signal,
				});
				return {status: res.statusCode, body: await readWhole(res.body)};
			});
		} catch (error) {
			// A write may have been applied before its answer was lost.
			throw new PlatformUnavailableError(
				`The platform did not answer ${call.method} ${call.path}. Read back before acting on a write.`,
				call.writes,
				{cause: error},
			);
		}

		return checkStatus(call, answer);
	};

	return {
		table: createTableClient(send),
		objects: createObjectClient(send),
		weights: createWeightClient(send),
		vms: createVmListClient(send),
		async close() {
			await agent.close();
		},
	};
}

/** Calls of one method and service usually take as long. */
const kindOf = ({method, path}: Call): string => `${method} ${path.split('/', 2)[1]}`;

function checkStatus(call: Call, answer: Answer): Answer {
	if (answer.status >= statusServerError) {
		throw new PlatformUnavailableError(
			`The platform answered ${answer.status} to ${call.method} ${call.path}.`,
			call.writes,
		);
	}

	if (answer.status === statusBadRequest) {
		throw new PlatformRequestError(`The platform refused ${call.method} ${call.path}: ${Buffer.from(answer.body).toString('utf8')}`);
	}

	return answer;
}

function parse<Schema extends z.ZodType>(schema: Schema, answer: Answer): z.infer<Schema> {
	try {
		return schema.parse(JSON.parse(Buffer.from(answer.body).toString('utf8')));
	} catch (error) {
		throw new PlatformProtocolError('The platform\'s answer does not match its published format.', {cause: error});
	}
}

const jsonHeaders = {'content-type': 'application/json'};

function createTableClient(send: Transport): TableClient {
	return {
		async get(key) {
			const answer = await send({
				method: 'GET', path: '/table/row', query: {key}, writes: false,
			});
			return answer.status === statusNotFound ? undefined : parse(rowSchema, answer);
		},
		async list({prefix, after, limit}) {
			const query: Record<string, string> = {prefix};
			if (after !== undefined) {
				query.after = after;
			}

			if (limit !== undefined) {
				query.limit = String(limit);
			}

			const answer = await send({
				method: 'GET', path: '/table/rows', query, writes: false,
			});
			return parse(rowsSchema, answer).rows;
		},
		async transact(writes) {
			const answer = await send({
				method: 'POST',
				path: '/table/transactions',
				headers: jsonHeaders,
				body: JSON.stringify({writes}),
				writes: true,
			});
			return parse(transactionSchema, answer);
		},
	};
}

function createObjectClient(send: Transport): ObjectClient {
	const pathOf = (name: string) => `/objects/${encodeURIComponent(name)}`;
	return {
		async put(name, content, putOptions) {
			const headers: Record<string, string> = {'content-type': 'application/octet-stream'};
			if (putOptions?.ifAbsent) {
				headers['if-none-match'] = '*';
			}

			const answer = await send({
				method: 'PUT', path: pathOf(name), headers, body: content, writes: true,
			});
			return answer.status !== statusConflict;
		},
		async get(name) {
			const answer = await send({method: 'GET', path: pathOf(name), writes: false});
			return answer.status === statusOk ? answer.body : undefined;
		},
		async list(prefix) {
			const answer = await send({
				method: 'GET', path: '/objects', query: {prefix}, writes: false,
			});
			return parse(namesSchema, answer).names;
		},
		async remove(name) {
			await send({method: 'DELETE', path: pathOf(name), writes: true});
		},
	};
}

function createWeightClient(send: Transport): WeightClient {
	return {
		async list() {
			return parse(weightsSchema, await send({method: 'GET', path: '/weights', writes: false})).weights;
		},
	};
}

function createVmListClient(send: Transport): VmListClient {
	return {
		async read() {
			return parse(vmListSchema, await send({method: 'GET', path: '/vms', writes: false}));
		},
	};
}
