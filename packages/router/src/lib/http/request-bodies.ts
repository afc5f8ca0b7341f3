/** Reads the bodies of requests. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {errorCodes, type FastifyInstance} from 'fastify';
import {createByteCollector} from '../buffers/byte-collector.js';

/** Follows one body while it arrives. */
export type BodyWatch = {
	/** Called with each part of the body, which holds many chunks if they are small. */
	part: (part: Uint8Array) => void;
	/** Called with the bytes of memory that the body takes in addition. */
	taken: (bytes: number) => void;
	/** Called once no more is read. */
	close: () => void;
};

/** Options of {@link readBodies}. */
export type BodyOptions = {
	/** Longest body; a longer one gets 413. */
	maxBytes: number;
	/** Called when a body begins to arrive. */
	watch?: (req: IncomingMessage) => BodyWatch;
	/** Called with the connection of each chunk, also of those that are discarded. */
	onChunk: (socket: Socket) => void;
};

const statusBadRequest = 400;

const unwatched: BodyWatch = {part: () => undefined, taken: () => undefined, close: () => undefined};

/** Whether a request has a body that may be long. */
export const hasBody = ({headers}: IncomingMessage): boolean => headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';

/** Methods whose bodies are not handed to handlers. */
const bodylessMethods: ReadonlySet<string | undefined> = new Set(['GET', 'HEAD', 'TRACE']);

/** Discards the body of a request as it arrives. Chunks that nobody reads would be held until the response is sent. */
export function discardBody(req: IncomingMessage, onChunk: (socket: Socket) => void): void {
	if (hasBody(req)) {
		req.on('data', () => {
			onChunk(req.socket);
		});
	}
}

/** Replaces the parsers of a server, so that each body is handed to its handler as one buffer. */
export function readBodies(app: FastifyInstance, {maxBytes, watch = () => unwatched, onChunk}: BodyOptions): void {
	app.removeAllContentTypeParsers();
	app.addHook('onRequest', ({raw}, _reply, done) => {
		if (bodylessMethods.has(raw.method)) {
			discardBody(raw, onChunk);
		}

		done();
	});
	app.addContentTypeParser('*', (req, payload, done) => {
		const statedBytes = req.headers['content-length'];
		if (Number(statedBytes ?? 0) > maxBytes) {
			discardBody(req.raw, onChunk);
			done(new errorCodes.FST_ERR_CTP_BODY_TOO_LARGE());
			return;
		}

		const watched = watch(req.raw);
		const body = createByteCollector(watched.part);
		const stop = (): void => {
			payload.off('data', add);
			payload.off('end', end);
			payload.off('error', fail);
			payload.off('close', stop);
			watched.close();
		};

		const fail = (error: Error): void => {
			stop();
			done(Object.assign(error, {statusCode: 'statusCode' in error ? error.statusCode : statusBadRequest}));
		};

		const add = (chunk: Buffer): void => {
			onChunk(req.raw.socket);
			const takenBytes = body.add(chunk);
			if (body.length() > maxBytes) {
				fail(new errorCodes.FST_ERR_CTP_BODY_TOO_LARGE());
				discardBody(req.raw, onChunk);
				return;
			}

			if (takenBytes !== 0) {
				watched.taken(takenBytes);
			}
		};

		const end = (): void => {
			stop();
			const content = body.whole();
			if (statedBytes !== undefined && content.length !== Number(statedBytes)) {
				done(new errorCodes.FST_ERR_CTP_INVALID_CONTENT_LENGTH());
				return;
			}

			done(null, content);
		};

		payload.on('data', add);
		payload.on('end', end);
		payload.on('error', fail);
		payload.on('close', stop);
	});
}
