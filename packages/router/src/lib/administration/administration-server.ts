/**
 * HTTP server for operators, on a separate address. It carries no traffic of
 * callers and does not accept their keys.
 */
import {randomUUID} from 'node:crypto';
import fastify, {type FastifyError, type FastifyInstance, type FastifyReply} from 'fastify';
import {LayerError} from '../errors/layer-error.js';
import {type BindAddress, closeServer, listenServer} from '../http/http-server.js';
import {createSilentLog, type Log} from '../observability/log.js';
import {NotFoundError, RequestInvalidError} from './administration-errors.js';
import {type ConfigurationRoutesOptions, defineConfigurationRoutes} from './configuration-routes.js';
import {addConsole} from './console-files.js';
import {toErrorAnswer} from './error-answers.js';
import {defineFleetRoutes, type FleetRoutesOptions} from './fleet-routes.js';
import {defineKeyRoutes} from './key-routes.js';
import {createOpenApi} from './openapi.js';
import {createOperatorAuthorizer, type Operator} from './operators.js';
import {type Route, type RouteAnswer} from './route.js';

export type AdministrationServerOptions = ConfigurationRoutesOptions & FleetRoutesOptions & {
	/** Operators who may use the server, from the daemon's settings. */
	operators: readonly Operator[];
	/** Version of this program, for the OpenAPI document. */
	programVersion?: string;
	/** Largest body in bytes; 16 MiB by default. The document at the target size has 2.7 MB. */
	largestBodyBytes?: number;
	/** Adds further routes; called before the server listens. */
	extend?: (app: FastifyInstance) => void;
	log?: Log;
};

/** The administration server. */
export type AdministrationServer = {
	/** Resolves to the bound address as a URL. */
	listen: (address: BindAddress) => Promise<string>;
	close: () => Promise<void>;
};

const defaultLargestBodyBytes = 16 * 1024 * 1024;

/** Answers contain keys and names, so browsers and proxies must not cache, frame or content-sniff them. */
const securityHeaders = {
	'cache-control': 'no-store',
	'content-security-policy': 'default-src \'none\'; style-src \'unsafe-inline\'; frame-ancestors \'none\'',
	'referrer-policy': 'no-referrer',
	'x-content-type-options': 'nosniff',
};

/**
 * Creates the server, which does not listen until `listen` is called.
 *
 * @example
 * const server = createAdministrationServer({operators, configuration: store, inForce, status, unknownOrders, burnReport});
 * await server.listen({host: '10.0.0.5', port: 7500});
 */
export function createAdministrationServer(options: AdministrationServerOptions): AdministrationServer {
	const {log = createSilentLog()} = options;
	const app = fastify({
		bodyLimit: options.largestBodyBytes ?? defaultLargestBodyBytes,
		forceCloseConnections: 'idle',
		return503OnClosing: false,
		genReqId: () => randomUUID(),
	});
	app.addHook('onSend', async (req, reply) => {
		void reply.headers({...securityHeaders, ...reply.getHeaders(), 'x-request-id': req.id});
	});
	app.setErrorHandler(async (error: FastifyError, req, reply) => {
		if (toErrorAnswer(translateHttpError(error)).status === 500) {
			log.error('Request failed with an internal error.', {requestId: req.id, err: error});
		}

		return sendError(reply, translateHttpError(error));
	});
	app.setNotFoundHandler(async (_req, reply) => sendError(reply, new NotFoundError('There is nothing at this path. See /v1/openapi.json.')));
	mountRoutes(app, [...defineConfigurationRoutes(options), ...defineKeyRoutes(options), ...defineFleetRoutes(options)], options, log);
	addConsole(app);
	options.extend?.(app);
	return {
		listen: async address => listenServer(app, address, {log}),
		async close() {
			await closeServer(app);
		},
	};
}

function mountRoutes(app: FastifyInstance, routes: readonly Route[], options: AdministrationServerOptions, log: Log): void {
	const authorizer = createOperatorAuthorizer(options.operators);
	const openApi = createOpenApi(routes, options.programVersion ?? '0.1.0');
	app.get('/v1/openapi.json', async req => {
		authorizer.authorize(req.headers.authorization, 'read');
		return openApi;
	});
	for (const route of routes) {
		app.route({
			method: route.method,
			url: route.path,
			// Authorizes before the body is read, so that an unknown client can't make the daemon buffer 16 MiB.
			async onRequest(req) {
				authorizer.authorize(req.headers.authorization, route.role);
			},
			async handler(req, reply) {
				const operator = authorizer.authorize(req.headers.authorization, route.role);
				const answer = await route.run({
					operator, params: req.params, query: req.query, body: req.body, ifMatch: req.headers['if-match'],
				});
				if (route.role === 'change') {
					log.info('Operator made a change.', {
						requestId: req.id, operator: operator.name, path: `${route.method} ${route.path}`, ...(answer.version !== undefined && {version: answer.version}),
					});
				}

				return sendAnswer(reply, answer);
			},
		});
	}
}

async function sendAnswer(reply: FastifyReply, answer: RouteAnswer): Promise<FastifyReply> {
	if (answer.version !== undefined) {
		void reply.header('etag', `"${answer.version}"`);
	}

	return reply.code(answer.status).type(answer.contentType ?? 'application/json; charset=utf-8').send(answer.body);
}

async function sendError(reply: FastifyReply, error: unknown): Promise<FastifyReply> {
	const {status, body} = toErrorAnswer(error);
	if (status === 401) {
		void reply.header('www-authenticate', 'Bearer');
	}

	return reply.code(status).send(body);
}

const bodyFaults: Record<string, string> = {
	FST_ERR_CTP_BODY_TOO_LARGE: 'larger than this server takes',
	FST_ERR_CTP_EMPTY_JSON_BODY: 'empty; send JSON',
	FST_ERR_CTP_INVALID_JSON_BODY: 'no JSON',
	FST_ERR_CTP_INVALID_MEDIA_TYPE: 'not sent as application/json',
	FST_ERR_CTP_INVALID_CONTENT_LENGTH: 'not as long as its header says',
};

/** Translates errors of the HTTP library into errors of this API, since the texts of the library may quote the body. */
function translateHttpError(error: FastifyError): unknown {
	const message = error instanceof LayerError ? undefined : bodyFaults[error.code];
	return message === undefined ? error : new RequestInvalidError([{path: 'body', message}]);
}
