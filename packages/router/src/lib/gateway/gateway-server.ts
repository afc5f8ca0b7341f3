/** The HTTP server that callers reach through the load balancer. */
import {randomUUID} from 'node:crypto';
import fastify, {
	type FastifyError, type FastifyInstance, type FastifyReply, type FastifyRequest,
} from 'fastify';
import {type DocumentIndex} from '../configuration/document-index.js';
import {type BindAddress, type BindOptions} from '../sockets/bind-address.js';
import {closeServer, listenServer} from '../http/http-server.js';
import {skipLeftCallers} from '../http/request-arrivals.js';
import {type KeyRing} from '../configuration/key-ring.js';
import {createEventLoopLag} from '../time/event-loop-lag.js';
import {authenticate, requireConfiguration} from './admission.js';
import {
	errorBody, errorHeaders, GatewayError, refusals,
} from './gateway-errors.js';
import {type ModelGateway} from './model-gateway.js';
import {modelForms, type ModelForm} from './model-request.js';

/** Options of {@link createGatewayServer}. */
export type GatewayServerOptions = {
	models: ModelGateway;
	/** The active configuration; `undefined` while the daemon may not serve. */
	configuration: () => DocumentIndex | undefined;
	keyRing: KeyRing;
	/** Whether the load balancer should send new requests to this daemon. */
	isReady: () => boolean;
	/** Largest body of a model request, in bytes. */
	largestBodyBytes: number;
	/** Largest header section, in bytes. */
	largestHeaderBytes: number;
	/** Adds routes, such as those of plain services, before the server listens. */
	extend?: (app: FastifyInstance) => void;
	/** Called for internal errors of the router. */
	onFault: (error: unknown) => void;
};

/** The HTTP server of the gateway. */
export type GatewayServer = {
	/** Resolves to the bound address as a URL. */
	listen: (address: BindAddress, options?: BindOptions) => Promise<string>;
	/** Refuses new connections and waits until every request has ended. */
	close: () => Promise<void>;
};

/** Maps Fastify error codes to the errors that callers get. */
const httpErrors: Record<string, (error: FastifyError) => GatewayError> = {
	FST_ERR_CTP_BODY_TOO_LARGE: () => new GatewayError('request_too_large', 'The body is larger than this router takes.'),
	FST_ERR_CTP_EMPTY_JSON_BODY: () => new GatewayError('invalid_request', 'The body is empty; send JSON.'),
	FST_ERR_CTP_INVALID_JSON_BODY: () => new GatewayError('invalid_request', 'The body is no JSON.'),
	FST_ERR_CTP_INVALID_MEDIA_TYPE: () => new GatewayError('invalid_request', 'Send the body as application/json.'),
};

/** Creates the server; call `listen` to open the port. */
export function createGatewayServer(options: GatewayServerOptions): GatewayServer {
	const app = fastify({
		bodyLimit: options.largestBodyBytes,
		// On close, keep-alive connections end after their running responses.
		forceCloseConnections: 'idle',
		return503OnClosing: false,
		http: {maxHeaderSize: options.largestHeaderBytes},
	});
	app.setErrorHandler(async (error: FastifyError, _req, reply) => sendError(reply, toGatewayError(error, options.onFault)));
	app.setNotFoundHandler(async (_req, reply) => sendError(reply, new GatewayError('service_not_found', 'There is nothing at this path.')));

	// While the daemon isn't ready, keep-alive callers are asked to close: a reused
	// connection could end under them, and the balancer sends a new one elsewhere.
	app.addHook('onRequest', async (_req, reply) => {
		if (!options.isReady()) {
			reply.raw.setHeader('connection', 'close');
		}
	});

	skipLeftCallers(app, createEventLoopLag());
	for (const [form, path] of Object.entries(modelForms) as Array<[ModelForm, string]>) {
		app.post(path, async (req, reply) => serveModel(options, form, req, reply));
	}

	app.get('/v1/models', async req => listModels(options, req));
	app.get('/ready', async (_req, reply) => (options.isReady() ? {ready: true} : reply.code(503).send({ready: false})));
	options.extend?.(app);

	return {
		listen: async (address, bindOptions) => listenServer(app, address, bindOptions),
		async close() {
			await closeServer(app);
		},
	};
}

async function serveModel(options: GatewayServerOptions, form: ModelForm, req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
	void reply.hijack();
	try {
		await options.models.handle({
			requestId: randomUUID(), form, headers: req.headers, body: req.body, raw: reply.raw,
		});
	} catch (error) {
		options.onFault(error);
	}

	return reply;
}

function listModels(options: GatewayServerOptions, req: FastifyRequest) {
	const {document} = requireConfiguration(options.configuration()).accepted;
	const {workspace} = authenticate(options.keyRing, req.headers);
	const data = [];
	for (const service of document.services) {
		if (service.kind !== 'model' || !workspace.services.includes(service.name)) {
			continue;
		}

		for (const id of [service.model, ...service.adapters.map(adapter => `${service.model}:${adapter}`)]) {
			data.push({
				id, object: 'model', created: 0, owned_by: service.name,
			});
		}
	}

	return {object: 'list', data};
}

function toGatewayError(error: FastifyError | GatewayError, onFault: (error: unknown) => void): GatewayError {
	if (error instanceof GatewayError) {
		return error;
	}

	const translated = httpErrors[error.code]?.(error);
	if (translated !== undefined) {
		return translated;
	}

	if (error.statusCode !== undefined && error.statusCode < 500) {
		return new GatewayError('invalid_request', error.message);
	}

	onFault(error);
	return new GatewayError('internal_error', 'The router failed on this request.', undefined, {cause: error});
}

async function sendError(reply: FastifyReply, error: GatewayError): Promise<FastifyReply> {
	return reply.code(refusals[error.code].status).headers(errorHeaders(error)).send(errorBody(error));
}
