/**
 * Measures the latency that the router adds to a request: the same load goes to
 * engine stand-ins directly and through a router, alternating in one run. Also
 * measures the processor time of a router that carries one daemon's share of
 * the target load.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {build, type Histogram} from 'hdr-histogram-js';
import {createConfigurationStore} from 'hickorywalk/configuration.js';
import {createHttpPlatform} from 'hickorywalk/platform.js';
import {Agent, request} from 'undici';
import {type BenchProcess, startBenchProcess} from './child-process.js';

const key = 'hw-bench-key-of-the-only-workspace';
const engineCount = 4;
const rounds = 6;
const requestsPerRound = 400;
/** Concurrency for requests per second; added latency is measured with one request at a time, so that it contains no queueing. */
const manyAtOnce = 16;
const promptBytes = 16_384;
const targetRequestsPerSecond = 80;
const targetTokensPerRequest = 212;
const targetSeconds = 10;
const microPerMs = 1000;

const agent = new Agent({connections: 256});

type Load = {urls: string[]; latency: Histogram; requests: number; seconds: number};

/** Runs the benchmark and prints one JSON line. */
export async function runOverheadBench(): Promise<void> {
	const directory = await mkdtemp(join(tmpdir(), 'hickorywalk-bench-'));
	const processes: BenchProcess[] = [];
	const start = async (...args: string[]) => {
		const started = await startBenchProcess(...args);
		processes.push(started);
		return started;
	};

	try {
		const platform = await start('standin', 'platform');
		const options = JSON.stringify({
			decodeMs: 0, slots: 512, prefillTokensPerMs: 1e9, cachePieces: 4096,
		});
		const engines = await Promise.all(Array.from({length: engineCount}, async () => start('standin', 'engine', '--options', options)));
		await publishDocument(platform.url, engines.map(engine => engine.url));
		const settings = join(directory, 'router.json');
		await writeFile(settings, JSON.stringify({
			name: 'vm-1', dataCentre: 'dc-1', platform: {url: platform.url}, fleetSecret: 'a-secret-for-this-benchmark',
		}));
		const router = await start('serve', '--settings', settings);
		await waitUntilReady(router.url);
		const overhead = await measureOverhead(engines.map(engine => engine.url), [router.url]);
		const target = await measureTarget(router);
		console.log(JSON.stringify({bench: 'overhead', ...overhead, ...target}));
	} finally {
		await Promise.all(processes.map(async started => started.stop()));
		await agent.close();
		await rm(directory, {recursive: true});
	}
}

async function publishDocument(platformUrl: string, engines: string[]): Promise<void> {
	const platform = createHttpPlatform({baseUrl: platformUrl});
	await createConfigurationStore({platform}).propose({
		layout: 1,
		dataCentres: [{name: 'dc-1', region: 'region-1'}],
		workspaces: [{
			name: 'school-1',
			keys: [{id: 'a', digest: createHash('sha256').update(key).digest('hex')}],
			tokensPerSecond: 1e9,
			burstTokens: 1e9,
			services: ['wordsmith'],
		}],
		services: [{
			kind: 'model', name: 'wordsmith', model: 'wordsmith', version: 'w1',
		}],
		endpoints: engines.map((address, index) => ({
			name: `ws-${index}`, service: 'wordsmith', vm: `vm-w${index}`, dataCentre: 'dc-1', address,
		})),
	}, {expectedVersion: 0, who: 'bench'});
	await platform.close();
}

async function waitUntilReady(url: string): Promise<void> {
	for (;;) {
		const res = await request(new URL('/ready', url));
		await res.body.dump();
		if (res.statusCode === 200) {
			return;
		}

		await delay(20);
	}
}

async function sendRequest(url: string, tokens: number, stream: boolean): Promise<number> {
	const res = await request(new URL('/v1/chat/completions', url), {
		method: 'POST',
		headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'wordsmith', max_tokens: tokens, stream, messages: [{role: 'user', content: 'p'.repeat(promptBytes)}],
		}),
		dispatcher: agent,
	});
	let bytes = 0;
	for await (const chunk of res.body) {
		bytes += Buffer.byteLength(chunk as Uint8Array);
	}

	if (res.statusCode !== 200) {
		throw new Error(`${url} answered ${res.statusCode}.`);
	}

	return bytes;
}

async function runRound(load: Load, concurrency: number): Promise<void> {
	let left = requestsPerRound;
	const startedAt = performance.now();
	await Promise.all(Array.from({length: concurrency}, async () => {
		while (left > 0) {
			left--;
			const sentAt = performance.now();
			// Direct requests also rotate over the engines, so that both paths use the same number of them.
			await sendRequest(load.urls[left % load.urls.length], 1, false);
			load.latency.recordValue(Math.round((performance.now() - sentAt) * microPerMs));
			load.requests++;
		}
	}));
	load.seconds += (performance.now() - startedAt) / 1000;
}

async function measureOverhead(directUrls: string[], routerUrls: string[]) {
	const newLoad = (urls: string[]): Load => ({
		urls, latency: build({numberOfSignificantValueDigits: 3}), requests: 0, seconds: 0,
	});
	for (const urls of [directUrls, routerUrls]) {
		await runRound(newLoad(urls), manyAtOnce);
	}

	const direct = newLoad(directUrls);
	const router = newLoad(routerUrls);
	const directMany = newLoad(directUrls);
	const routerMany = newLoad(routerUrls);
	for (let round = 0; round < rounds; round++) {
		await runRound(direct, 1);
		await runRound(router, 1);
		await runRound(directMany, manyAtOnce);
		await runRound(routerMany, manyAtOnce);
	}

	const added = (percentile: number) => Number(((router.latency.getValueAtPercentile(percentile) - direct.latency.getValueAtPercentile(percentile)) / microPerMs).toFixed(3));
	return {
		added_p50_ms: added(50),
		added_p99_ms: added(99),
		direct_p50_ms: direct.latency.getValueAtPercentile(50) / microPerMs,
		router_rps: Math.round(routerMany.requests / routerMany.seconds),
		direct_rps: Math.round(directMany.requests / directMany.seconds),
	};
}

/** Sends one daemon's share of the target load as streamed requests, and measures the router's cost. */
async function measureTarget(router: BenchProcess) {
	const cpuBefore = await router.cpuSeconds();
	const startedAt = performance.now();
	const answers: Array<Promise<number>> = [];
	const total = targetRequestsPerSecond * targetSeconds;
	for (let count = 0; count < total; count++) {
		const dueMs = (count / targetRequestsPerSecond) * 1000;
		await delay(Math.max(0, dueMs - (performance.now() - startedAt)));
		answers.push(sendRequest(router.url, targetTokensPerRequest, true));
	}

	await Promise.all(answers);
	const seconds = (performance.now() - startedAt) / 1000;
	const cpu = await router.cpuSeconds() - cpuBefore;
	const events = total * targetTokensPerRequest;
	return {
		target_requests_per_s: Math.round(total / seconds),
		target_tokens_per_s: Math.round(events / seconds),
		target_cpu_share: Number((cpu / seconds).toFixed(3)),
		cpu_us_per_event: Number(((cpu * 1e6) / events).toFixed(1)),
		resident_mib: Math.round(await router.residentMib()),
	};
}
