/** A plain service that places orders and counts how often each one ran. */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {Readable} from 'node:stream';
import fastify, {type FastifyReply, type FastifyRequest} from 'fastify';
import {createExecutionLedger, type ExecutionLedger} from './execution-ledger.js';
import {createFaultQueue, type FaultQueue, type ServiceFault} from './service-faults.js';

/** A running service. */
export type ServiceStandin = {
	url: string;
	/** Executions by request id. */
	executions: Map<string, number>;
	/** Executions by request id and by order. */
	ledger: ExecutionLedger;
	/** Faults to come, one for each new connection. */
	faults: FaultQueue;
	/** What came as orders, in order: URL, and headers as a flat list of names and values. */
	requests: Array<{url: string; rawHeaders: string[]}>;
	/** Bytes of large answers that were handed to connections. */
	sentBytes: () => number;
	/** Connections that were opened. */
	connections: () => number;
	close: () => Promise<void>;
};

const statusPlaced = 200;

function idOf(req: FastifyRequest): string {
	return String(req.headers['x-request-id']);
}

/** The bytes of the answer to an order, as a service writes them. */
function answerBytes(id: string, body: string): Buffer {
	return Buffer.from(`HTTP/1.1 ${statusPlaced} OK\r\nx-request-id: ${id}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
}

type Answerer = (options: {req: FastifyRequest; reply: FastifyReply; run: () => string; fault: ServiceFault}) => unknown;

function answerRaw(reply: FastifyReply, bytes: Buffer, end: (socket: Socket) => void): void {
	void reply.hijack();
	const {socket} = reply.raw;
	socket?.write(bytes, () => {
		end(socket);
	});
}

const answerers = {
	none({req, reply, run}) {
		return reply.code(statusPlaced).header('x-request-id', idOf(req)).type('application/json').send(run());
	},
	reset_in_request({reply}) {
		void reply.hijack();
	},
	reset_in_answer({req, reply, run, fault}) {
		const {afterBytes} = fault as {afterBytes: number};
		answerRaw(reply, answerBytes(idOf(req), run()).subarray(0, afterBytes), socket => {
			socket.resetAndDestroy();
		});
	},
	close_in_answer({req, reply, run, fault}) {
		const {afterBytes} = fault as {afterBytes: number};
		answerRaw(reply, answerBytes(idOf(req), run()).subarray(0, afterBytes), socket => {
			socket.end();
		});
	},
	silent({reply, run, fault}) {
		void reply.hijack();
		if ((fault as {runs: boolean}).runs) {
			run();
		}
	},
	foreign_id({reply, run}) {
		return reply.code(statusPlaced).header('x-request-id', 'another-request').type('application/json').send(run());
	},
	no_id({reply, run}) {
		return reply.code(statusPlaced).type('application/json').send(run());
	},
	no_length({reply, run}) {
		answerRaw(reply, Buffer.from(`HTTP/1.1 ${statusPlaced} OK\r\n\r\n${run()}`), socket => {
			socket.end();
		});
	},
} as const satisfies Record<ServiceFault['kind'], Answerer>;

/**
 * Starts a service. `POST /orders` places the order that the header `x-order`
 * names, `/status/ID` tells whether a request ran, `/large/BYTES` answers in
 * chunks with a trailer, `/count` counts a body's bytes, `/unread` reads none, and
 * `/bodiless/STATUS` states a length that no body follows.
 */
export async function startServiceStandin(options: {host?: string; port?: number} = {}): Promise<ServiceStandin> {
	const ledger = createExecutionLedger();
	const faults = createFaultQueue();
	const requests: ServiceStandin['requests'] = [];
	const ordered = new WeakMap<Socket, ServiceFault>();
	let connections = 0;
	let sentBytes = 0;
	const count = (block: number) => {
		sentBytes += block;
	};

	const app = fastify({forceCloseConnections: true, bodyLimit: Number.MAX_SAFE_INTEGER});
	app.server.on('connection', (socket: Socket) => {
		connections++;
		const fault = faults.next();
		ordered.set(socket, fault);
		if (fault.kind === 'reset_in_request') {
			resetAfter(socket, fault.afterBytes);
		}
	});
	app.removeAllContentTypeParsers();
	app.addContentTypeParser('*', (_req, _payload, done) => {
		done(null);
	});
	app.all('/orders', async (req, reply) => {
		requests.push({url: req.url, rawHeaders: [...req.raw.rawHeaders]});
		const body = placedOrder(await readText(req.raw));
		const fault = ordered.get(req.raw.socket) ?? {kind: 'none'};
		ordered.set(req.raw.socket, {kind: 'none'});
		const order = String(req.headers['x-order'] ?? idOf(req));
		const run = () => {
			ledger.run(idOf(req), order);
			return JSON.stringify({placed: body});
		};

		const answer: Answerer = answerers[fault.kind];
		await answer({
			req, reply, run, fault,
		});
		return reply;
	});
	app.get('/status/:id', async (req, reply) => {
		const {id} = req.params as {id: string};
		return reply.header('x-request-id', idOf(req)).send({ran: ledger.executions.has(id), status: statusPlaced});
	});
	app.get('/large/:bytes', async (req, reply) => {
		const {bytes} = req.params as {bytes: string};
		return reply.header('x-request-id', idOf(req)).header('trailer', 'x-bytes').trailer('x-bytes', (_reply, _payload, done) => {
			done(null, bytes);
		}).send(Readable.from(blocks(Number(bytes), count), {objectMode: false}));
	});
	app.all('/unread', async (_req, reply) => reply.hijack());
	app.get('/bodiless/:status', async (req, reply) => {
		const {status} = req.params as {status: string};
		answerRaw(reply, Buffer.from(`HTTP/1.1 ${status} Bodiless\r\nx-request-id: ${idOf(req)}\r\ncontent-length: 10\r\n\r\n`), () => {
			// The connection stays open, as it does for the next request.
		});
		return reply;
	});
	app.all('/count', async (req, reply) => {
		let bytes = 0;
		for await (const chunk of req.raw) {
			bytes += (chunk as Buffer).byteLength;
		}

		return reply.header('x-request-id', idOf(req)).send({bytes});
	});
	const url = await app.listen({host: options.host ?? '127.0.0.1', port: options.port ?? 0});
	return {
		url,
		executions: ledger.executions,
		ledger,
		faults,
		requests,
		sentBytes: () => sentBytes,
		connections: () => connections,
		async close() {
			await app.close();
		},
	};
}

/** Resets before the parser sees the byte at which the connection is to break. */
function resetAfter(socket: Socket, afterBytes: number): void {
	let bytes = 0;
	socket.prependListener('data', (chunk: Buffer) => {
		bytes += chunk.byteLength;
		if (bytes >= afterBytes) {
			socket.resetAndDestroy();
		}
	});
	if (afterBytes === 0) {
		socket.resetAndDestroy();
	}
}

/** The order as the receipt repeats it: JSON stays JSON, anything else is text. */
function placedOrder(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return text;
	}
}

async function readText(source: AsyncIterable<Uint8Array>): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of source) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

const blockBytes = 16_384;

function * blocks(bytes: number, count: (block: number) => void): Generator<Buffer> {
	for (let left = bytes; left > 0; left -= blockBytes) {
		const block = Math.min(left, blockBytes);
		count(block);
		yield Buffer.alloc(block, 'x');
	}
}
