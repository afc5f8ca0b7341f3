/** Stand-in for a plain service that places orders and counts the executions of each. */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {Readable} from 'node:stream';
import fastify, {type FastifyReply, type FastifyRequest} from 'fastify';
import {createExecutionLedger, type ExecutionLedger} from './execution-ledger.js';
import {createFaultQueue, type FaultQueue, type ServiceFault} from './service-faults.js';

/** A running service stand-in. */
export type ServiceStandin = {
	url: string;
	/** Number of executions by request id. */
	executions: Map<string, number>;
	/** Execution counts by request id and by order. */
	ledger: ExecutionLedger;
	/** Pending faults, one for each new connection. */
	faults: FaultQueue;
	/** Requests to `/orders`, in order of arrival; headers are a flat list of names and values. */
	requests: Array<{url: string; rawHeaders: string[]}>;
	/** Bytes of large responses that were passed to connections. */
	sentBytes: () => number;
	/** Number of connections that were opened. */
	connections: () => number;
	close: () => Promise<void>;
};

const statusPlaced = 200;
const oddStatus = 600;

function requestIdOf(req: FastifyRequest): string {
	return String(req.headers['x-request-id']);
}

/** Returns the raw bytes of the response to an order. */
function formatResponse(id: string, body: string, status = statusPlaced): Buffer {
	return Buffer.from(`HTTP/1.1 ${status} OK\r\nx-request-id: ${id}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
}

type Responder = (options: {req: FastifyRequest; reply: FastifyReply; run: () => string; fault: ServiceFault}) => unknown;

function sendRaw(reply: FastifyReply, bytes: Buffer, end: (socket: Socket) => void): void {
	void reply.hijack();
	const {socket} = reply.raw;
	socket?.write(bytes, () => {
		end(socket);
	});
}

const responders = {
	none({req, reply, run}) {
		return reply.code(statusPlaced).header('x-request-id', requestIdOf(req)).type('application/json').send(run());
	},
	reset_in_request({reply}) {
		void reply.hijack();
	},
	reset_in_answer({req, reply, run, fault}) {
		const {afterBytes} = fault as {afterBytes: number};
		sendRaw(reply, formatResponse(requestIdOf(req), run()).subarray(0, afterBytes), socket => {
			socket.resetAndDestroy();
		});
	},
	close_in_answer({req, reply, run, fault}) {
		const {afterBytes} = fault as {afterBytes: number};
		sendRaw(reply, formatResponse(requestIdOf(req), run()).subarray(0, afterBytes), socket => {
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
		sendRaw(reply, Buffer.from(`HTTP/1.1 ${statusPlaced} OK\r\n\r\n${run()}`), socket => {
			socket.end();
		});
	},
	odd_status({req, reply, run}) {
		sendRaw(reply, formatResponse(requestIdOf(req), run(), oddStatus), socket => {
			socket.end();
		});
	},
} as const satisfies Record<ServiceFault['kind'], Responder>;

/**
 * Starts a service. `/orders` places the order named by the header `x-order`,
 * `/status/ID` returns whether a request ran, `/large/BYTES` responds in chunks with
 * a trailer, `/count` returns the size of the body, `/unread` never reads the body,
 * and `/bodiless/STATUS` sends a content length but no body.
 */
export async function startServiceStandin(options: {host?: string; port?: number} = {}): Promise<ServiceStandin> {
	const ledger = createExecutionLedger();
	const faults = createFaultQueue();
	const requests: ServiceStandin['requests'] = [];
	const faultOfSocket = new WeakMap<Socket, ServiceFault>();
	let connections = 0;
	let sentBytes = 0;
	const count = (block: number) => {
		sentBytes += block;
	};

	const app = fastify({forceCloseConnections: true, bodyLimit: Number.MAX_SAFE_INTEGER});
	app.server.on('connection', (socket: Socket) => {
		connections++;
		const fault = faults.next();
		faultOfSocket.set(socket, fault);
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
		const body = parseOrderBody(await readText(req.raw));
		const fault = faultOfSocket.get(req.raw.socket) ?? {kind: 'none'};
		faultOfSocket.set(req.raw.socket, {kind: 'none'});
		const order = String(req.headers['x-order'] ?? requestIdOf(req));
		const run = () => {
			ledger.record(requestIdOf(req), order);
			return JSON.stringify({placed: body});
		};

		const respond: Responder = responders[fault.kind];
		await respond({
			req, reply, run, fault,
		});
		return reply;
	});
	app.get('/status/:id', async (req, reply) => {
		const {id} = req.params as {id: string};
		return reply.header('x-request-id', requestIdOf(req)).send({ran: ledger.executions.has(id), status: statusPlaced});
	});
	app.get('/large/:bytes', async (req, reply) => {
		const {bytes} = req.params as {bytes: string};
		return reply.header('x-request-id', requestIdOf(req)).header('trailer', 'x-bytes').trailer('x-bytes', (_reply, _payload, done) => {
			done(null, bytes);
		}).send(Readable.from(blocks(Number(bytes), count), {objectMode: false}));
	});
	app.all('/unread', async (_req, reply) => reply.hijack());
	app.get('/bodiless/:status', async (req, reply) => {
		const {status} = req.params as {status: string};
		sendRaw(reply, Buffer.from(`HTTP/1.1 ${status} Bodiless\r\nx-request-id: ${requestIdOf(req)}\r\ncontent-length: 10\r\n\r\n`), () => {
			// The connection stays open for the next request.
		});
		return reply;
	});
	app.all('/count', async (req, reply) => {
		let bytes = 0;
		for await (const chunk of req.raw) {
			bytes += (chunk as Buffer).byteLength;
		}

		return reply.header('x-request-id', requestIdOf(req)).send({bytes});
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

/** Resets the connection after `afterBytes` bytes, before the HTTP parser sees the last of them. */
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

/** Parses an order for the receipt: JSON if valid, otherwise text. */
function parseOrderBody(text: string): unknown {
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
