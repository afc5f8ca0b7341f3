/** The route of plain (non-model) services: `/services/SERVICE/...`, with any method and body. */
import {randomUUID} from 'node:crypto';
import {type FastifyInstance, type FastifyReply, type FastifyRequest} from 'fastify';
import {type DocumentIndex} from '../configuration/document-index.js';
import {type EndpointPicker} from '../endpoints/endpoint-picker.js';
import {type ServiceProxy} from '../orders/service-proxy.js';
import {type KeyRing} from '../configuration/key-ring.js';
import {
	authenticate, presentedKey, requireAccess, requireConfiguration,
} from './admission.js';
import {GatewayError} from './gateway-errors.js';

/** Options of {@link addPlainRoute}. */
export type PlainRouteOptions = {
	configuration: () => DocumentIndex | undefined;
	keyRing: KeyRing;
	picker: EndpointPicker;
	proxy: Pick<ServiceProxy, 'handle'>;
	/** Milliseconds within which the response must begin. */
	deadlineMs: number;
	/** Called with the outcome of each call. */
	onEnd: (workspace: string, service: string, event: string, durationMs: number) => void;
	/** Called for internal errors of the router. */
	onFault: (error: unknown) => void;
};

const prefix = '/services/';

/** Adds the route. Body parsers are removed because the proxy streams the body. */
export function addPlainRoute(app: FastifyInstance, options: PlainRouteOptions): void {
	void app.register(async scope => {
		scope.removeAllContentTypeParsers();
		scope.addContentTypeParser('*', (_req, _payload, done) => {
			done(null);
		});
		scope.all(`${prefix}:service/*`, async (req, reply) => serve(options, req, reply));
	});
}

async function serve(options: PlainRouteOptions, req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
	const startedAt = performance.now();
	const index = requireConfiguration(options.configuration());
	const caller = authenticate(options.keyRing, req.headers);
	const {service: name} = req.params as {service: string};
	const service = index.plainService(name);
	if (service === undefined) {
		throw new GatewayError('service_not_found', `There is no service ${name}.`);
	}

	requireAccess(caller, name);
	const picked: string[] = [];
	void reply.hijack();
	try {
		const event = await options.proxy.handle(req.raw, reply.raw, {
			workspace: caller.workspace.name,
			service,
			requestId: randomUUID(),
			presentedKey: presentedKey(req.headers),
			path: (req.raw.url ?? '').slice(prefix.length + name.length),
			pick(excluded) {
				const endpoint = options.picker.pick(name, excluded);
				if (endpoint !== undefined) {
					picked.push(endpoint.name);
					options.picker.started(endpoint.name);
				}

				return endpoint;
			},
			deadline: startedAt + options.deadlineMs,
		});
		const last = picked.at(-1);
		if (event === 'answered' && last !== undefined) {
			options.picker.succeeded(last);
		}

		options.onEnd(caller.workspace.name, name, event, performance.now() - startedAt);
	} catch (error) {
		options.onFault(error);
		reply.raw.destroy();
	} finally {
		for (const endpoint of picked) {
			options.picker.ended(endpoint);
		}
	}

	return reply;
}
