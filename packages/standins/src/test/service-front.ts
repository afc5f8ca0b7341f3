/** A gateway with only the service proxy, for tests over real sockets. */
import {type IncomingHttpHeaders} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
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
	/** Deadline of each call, in milliseconds. */
	deadlineMs?: number;
};

/** A retry budget that never runs out. */
const unlimitedRetryBudget = {
	take: () => true,
	deposit() {
		// The budget is unlimited.
	},
};

/** Starts a front gateway. Request ids count up from `r-1`. */
export async function startFront(options: FrontOptions) {
	const platform = createMemoryPlatform();
	const service = options.service ?? orderdesk;
	const endpoints = options.urls.map((url, index) => endpointAt(url, `od-${index + 1}`));
	const events: ServiceEvent[] = [];
	let requests = 0;
	const proxy = createServiceProxy({
		table: platform.table,
		retryBudget: unlimitedRetryBudget,
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
		/** Calls the service; the outcome is `cut` if the connection breaks off. */
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
		/** Waits for the first order that is listed as unknown, since its record may not be written yet. */
		async firstUnknown(): Promise<UnknownOrder> {
			for (;;) {
				const [listed] = await proxy.listUnknownOrders();
				if (listed !== undefined) {
					return listed;
				}

				await nextTurn();
			}
		},
		async close() {
			await agent.destroy();
			await proxy.drain();
			await app.close();
		},
	};
}

/** The response to one call, as the caller sees it. */
export type CallerView = {
	status: number;
	outcome: string;
	headers: IncomingHttpHeaders;
	text: string;
	trailers: Record<string, string>;
};
