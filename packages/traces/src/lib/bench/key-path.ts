/** What a call with a key costs more than one without, over loopback sockets. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {startPlatformStandin, startServiceStandin} from '@hickorywalk/standins';
import {build} from 'hdr-histogram-js';
import {type Endpoint, type PlainService} from 'hickorywalk/configuration.js';
import {createServiceProxy, type ServiceProxy} from 'hickorywalk/orders.js';
import {createHttpPlatform} from 'hickorywalk/platform.js';
import {Agent, request} from 'undici';

type Front = {
	url: string;
	proxy: ServiceProxy;
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
				// Nothing fails here.
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

/** A server with nothing but the proxy, on a table and a service behind real sockets. */
async function startFront(): Promise<Front> {
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

/** Median of a call in milliseconds, `callers` at a time. */
async function medianMs(front: Front, orders: number, callers: number, keyPrefix?: string): Promise<number> {
	const agent = new Agent({connections: callers});
	const histogram = build();
	let started = 0;
	const runCaller = async () => {
		while (started < orders) {
			const index = started++;
			const key: Record<string, string> = keyPrefix === undefined ? {} : {'idempotency-key': `${keyPrefix}-${index}`};
			const before = performance.now();
			const res = await request(`${front.url}/orders`, {
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

/** Measures the key path with so many callers at a time. */
export async function measureKeyPath(orders: number, callers: number) {
	const front = await startFront();
	await medianMs(front, orders, callers, 'warm');
	await medianMs(front, orders, callers);
	const withoutKey = await medianMs(front, orders, callers);
	const before = {...front.use};
	const withKey = await medianMs(front, orders, callers, 'key');
	await front.close();
	return {
		callers,
		orders,
		p50_ms: withKey,
		p50_ms_without_key: withoutKey,
		key_path_p50_ms: Number((withKey - withoutKey).toFixed(3)),
		writes_per_order: (front.use.writes - before.writes) / orders,
		transactions_per_order: (front.use.transactions - before.transactions) / orders,
	};
}
