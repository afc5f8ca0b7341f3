/** Measures the added latency of a call with an idempotency key over one without, over loopback sockets. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {startPlatformStandin, startServiceStandin} from '@hickorywalk/standins';
import {build} from 'hdr-histogram-js';
import {type Endpoint, type PlainService} from 'hickorywalk/configuration.js';
import {createServiceProxy, type ServiceProxy} from 'hickorywalk/orders.js';
import {createHttpPlatform} from 'hickorywalk/platform.js';
import {Agent, request} from 'undici';

type ProxyServer = {
	url: string;
	proxy: ServiceProxy;
	/** Table writes and transactions so far. */
	use: {writes: number; transactions: number};
	close: () => Promise<void>;
};

const service: PlainService = {kind: 'plain', name: 'orderdesk', routes: []};

function startProxy(baseUrl: string, endpoint: Endpoint) {
	const platform = createHttpPlatform({baseUrl});
	const use = {writes: 0, transactions: 0};
	const proxy = createServiceProxy({
		table: platform.table,
		retryBudget: {
			take: () => true,
			deposit() {
				// No call fails in this benchmark.
			},
		},
		directory: () => ({service, endpoints: [endpoint]}),
		onTransaction(writes) {
			use.writes += writes;
			use.transactions++;
		},
	});
	return {platform, proxy, use};
}

/** Starts a server that runs only the proxy; its table and service are stand-ins behind real sockets. */
async function startProxyServer(): Promise<ProxyServer> {
	const standin = await startPlatformStandin();
	const orders = await startServiceStandin();
	const endpoint: Endpoint = {
		name: 'od-1', service: 'orderdesk', vm: 'vm-1', dataCentre: 'hobart-a', address: orders.url, checksFencing: false,
	};
	const {platform, proxy, use} = startProxy(standin.url, endpoint);
	let requests = 0;
	const handle = async (req: IncomingMessage, res: ServerResponse) => proxy.handle(req, res, {
		workspace: 'school-1',
		service,
		requestId: `r-${requests++}`,
		presentedKey: 'hw-benchmark',
		path: req.url ?? '/',
		pick: excluded => excluded.has(endpoint.name) ? undefined : endpoint,
		deadline: performance.now() + 60_000,
	});
	const server = createServer((req, res) => {
		void handle(req, res);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	return {
		url: `http://127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`,
		proxy,
		use,
		async close() {
			await proxy.drain();
			server.close();
			server.closeAllConnections();
			await platform.close();
			await orders.close();
			await standin.close();
		},
	};
}

const microsPerMs = 1000;
const body = Buffer.from('{"ribbons":40}');

/** Median latency of a call in milliseconds, with `callers` concurrent callers. */
async function medianMs(server: ProxyServer, orders: number, callers: number, keyPrefix?: string): Promise<number> {
	const agent = new Agent({connections: callers});
	const histogram = build();
	let started = 0;
	const runCaller = async () => {
		while (started < orders) {
			const index = started++;
			const key: Record<string, string> = keyPrefix === undefined ? {} : {'idempotency-key': `${keyPrefix}-${index}`};
			const before = performance.now();
			const res = await request(`${server.url}/orders`, {
				method: 'POST', body, headers: {'content-type': 'application/json', ...key}, dispatcher: agent,
			});
			await res.body.text();
			histogram.recordValue(Math.round((performance.now() - before) * microsPerMs));
		}
	};

	await Promise.all(Array.from({length: callers}, runCaller));
	await agent.close();
	return histogram.getValueAtPercentile(50) / microsPerMs;
}

/** Measures the key path with `callers` concurrent callers. */
export async function measureKeyPath(orders: number, callers: number) {
	const server = await startProxyServer();
	await medianMs(server, orders, callers, 'warm');
	await medianMs(server, orders, callers);
	const withoutKey = await medianMs(server, orders, callers);
	const before = {...server.use};
	const withKey = await medianMs(server, orders, callers, 'key');
	await server.close();
	return {
		callers,
		orders,
		p50_ms: withKey,
		p50_ms_without_key: withoutKey,
		key_path_p50_ms: Number((withKey - withoutKey).toFixed(3)),
		writes_per_order: (server.use.writes - before.writes) / orders,
		transactions_per_order: (server.use.transactions - before.transactions) / orders,
	};
}
