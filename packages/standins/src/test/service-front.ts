/** A gateway with nothing but the service proxy, for tests over real sockets. */
import {type IncomingHttpHeaders} from 'node:http';
import {setImmediate as turn} from 'node:timers/promises';
import fastify from 'fastify';
import {type Endpoint, type PlainService} from 'hickorywalk/configuration.js';
import {
	createServiceProxy, type ServiceEvent, type ServiceProxyOptions, type UnknownOrder,
} from 'hickorywalk/orders.js';
import {Agent, request} from 'undici';
import {createMemoryPlatform} from '../index.js';

export const presentedKey = 'hw-secret-0123456789';

export const orderdesk: PlainService = {
	kind: 'plain',
	name: 'orderdesk',
	routes: [{method: 'PUT', path: '/orders', idempotent: true}],
};

export function endpointAt(url: string, name = 'od-1'): Endpoint {
	return {
		name, service: 'orderdesk', vm: 'vm-1', dataCentre: 'hobart-a', address: url, checksFencing: false,
	};
}

export type FrontOptions = Partial<ServiceProxyOptions> & {
	urls: string[];
	service?: PlainService;
	/** Milliseconds until an answer must have begun. */
	deadlineMs?: number;
};

/** A budget that is never spent. */
const openBudget = {
	take: () => true,
	deposit() {
		// Nothing to earn.
	},
};

/** Starts a front. Request ids count up from `r-1`. */
export async function startFront(options: FrontOptions) {
	const platform = createMemoryPlatform();
	const service = options.service ?? orderdesk;
	const endpoints = options.urls.map((url, index) => endpointAt(url, `od-${index + 1}`));
	const events: ServiceEvent[] = [];
	let requests = 0;
	const proxy = createServiceProxy({
		table: platform.table,
		retryBudget: openBudget,
		directory: name => name === service.name ? {service, endpoints} : undefined,
		onEvent: event => events.push(event),
		...options,
	});
	const app = fastify({forceCloseConnections: true});
	app.removeAllContentTypeParsers();
	app.addContentTypeParser('*', (_req, _payload, done) => {
		done(null);
	});
	app.all('/services/:service/*', async (req, reply) => {
		void reply.hijack();
		requests++;
		await proxy.handle(req.raw, reply.raw, {
			workspace: 'school-1',
			service,
			requestId: `r-${requests}`,
			presentedKey,
			path: req.url.replace(/^\/services\/[^\/]*/v, ''),
			pick: excluded => endpoints.find(endpoint => !excluded.has(endpoint.name)),
			deadline: performance.now() + (options.deadlineMs ?? 60_000),
		});
	});
	const url = await app.listen({host: '127.0.0.1', port: 0});
	const agent = new Agent();
	return {
		url,
		proxy,
		platform,
		events,
		requests: () => requests,
		/** Calls the service; a cut connection is told as `cut`. */
		async call(method: 'GET' | 'HEAD' | 'POST' | 'PUT', path: string, init: {headers?: Record<string, string>; body?: string} = {}): Promise<CallerView> {
			try {
				const res = await request(`${url}/services/orderdesk${path}`, {method, dispatcher: agent, ...init});
				const text = await res.body.text();
				return {
					status: res.statusCode, outcome: String(res.headers['x-call-outcome']), headers: res.headers, text, trailers: res.trailers,
				};
			} catch {
				return {
					status: 0, outcome: 'cut', headers: {}, text: '', trailers: {},
				};
			}
		},
		/** The first order that is listed as unknown; its record may be on its way yet. */
		async firstUnknown(): Promise<UnknownOrder> {
			for (;;) {
				const [listed] = await proxy.listUnknownOrders();
				if (listed !== undefined) {
					return listed;
				}

				await turn();
			}
		},
		async close() {
			await agent.destroy();
			await proxy.drain();
			await app.close();
		},
	};
}

/** What a caller sees of one call. */
export type CallerView = {
	status: number;
	outcome: string;
	headers: IncomingHttpHeaders;
	text: string;
	trailers: Record<string, string>;
};
