/** `hickorywalk demo`: runs a small fleet in one process, sends it real requests and prints the measurements. */
import {build, type Histogram} from 'hdr-histogram-js';
import {fetch} from 'undici';
import {type CommandModule} from 'yargs';
import {certificateRequests, type DemoRequest, transcriptRequests} from '../demo-traffic.js';
import {type EmbeddedFleet} from '../embedded-fleet.js';

type Tally = {
	firstToken: Histogram;
	promptTokens: number;
	cachedTokens: number;
	answered: number;
	failed: number;
};

const outputTokens = 24;
const concurrency = 6;

/** The `demo` command. */
export const demoCommand: CommandModule = {
	command: 'demo',
	describe: 'Run a small fleet with stand-ins in this process, send requests, print the measures.',
	builder: yargs => yargs.example('$0 demo', 'Takes a few seconds and needs nothing else.'),
	async handler() {
		const {startEmbeddedFleet} = await import('../embedded-fleet.js');
		const fleet = await startEmbeddedFleet({
			engines: [
				...Array.from({length: 4}, () => ({model: 'wordsmith'})),
				...Array.from({length: 3}, () => ({model: 'shoki-lm'})),
			],
			services: ['orderdesk', 'order-desk'],
			daemons: 2,
		});
		try {
			await runDemo(fleet);
		} finally {
			await fleet.stop();
		}
	},
};

async function runDemo(fleet: EmbeddedFleet): Promise<void> {
	const [first] = certificateRequests();
	console.log('A streamed answer through router-0:');
	console.log(`  ${await streamText(fleet, 0, first)}`);
	await report(fleet, 'wordsmith, certificates', certificateRequests());
	await report(fleet, 'shoki-lm, transcripts', transcriptRequests());
	await placeOrders(fleet);
}

type Call = {
	/** Index of the router that receives the request. */
	daemon: number;
	path: string;
	workspace: string;
	body: unknown;
	headers?: Record<string, string>;
};

async function post(fleet: EmbeddedFleet, {daemon, path, workspace, body, headers}: Call) {
	return fetch(new URL(path, fleet.daemons[daemon].callersUrl), {
		method: 'POST',
		headers: {authorization: `Bearer ${fleet.keys[workspace]}`, 'content-type': 'application/json', ...headers},
		body: JSON.stringify(body),
	});
}

type Chunk = {
	choices: Array<{delta: {content: string}}>;
	usage?: {prompt_tokens: number; prompt_tokens_details: {cached_tokens: number}};
};

async function * streamChunks(fleet: EmbeddedFleet, daemon: number, {workspace, model, messages}: DemoRequest): AsyncGenerator<Chunk> {
	const res = await post(fleet, {
		daemon,
		path: '/v1/chat/completions',
		workspace,
		body: {
			model, messages, max_tokens: outputTokens, stream: true, stream_options: {include_usage: true},
		},
	});
	if (!res.ok || res.body === null) {
		throw new Error(`The router responded with status ${res.status}: ${await res.text()}`);
	}

	let rest = '';
	const decoder = new TextDecoder();
	for await (const bytes of res.body) {
		const lines = (rest + decoder.decode(bytes as Uint8Array, {stream: true})).split('\n');
		rest = lines.pop() ?? '';
		for (const line of lines) {
			if (line.startsWith('data: {')) {
				yield JSON.parse(line.slice('data: '.length)) as Chunk;
			}
		}
	}
}

async function streamText(fleet: EmbeddedFleet, daemon: number, request: DemoRequest): Promise<string> {
	let text = '';
	for await (const {choices} of streamChunks(fleet, daemon, request)) {
		text += choices[0]?.delta.content ?? '';
	}

	return text;
}

async function report(fleet: EmbeddedFleet, title: string, requests: DemoRequest[]): Promise<void> {
	const tally: Tally = {
		firstToken: build(), promptTokens: 0, cachedTokens: 0, answered: 0, failed: 0,
	};
	const left = requests.entries();
	await Promise.all(Array.from({length: concurrency}, async () => {
		for (const [index, request] of left) {
			await measureRequest(fleet, index % fleet.daemons.length, request, tally);
		}
	}));
	const share = (100 * tally.cachedTokens) / tally.promptTokens;
	console.log(`${title}: ${tally.answered} answered, ${tally.failed} failed`);
	console.log(`  prompt tokens ${tally.promptTokens}, of them cached ${tally.cachedTokens} (${share.toFixed(1)} %)`);
	console.log(`  first token p50 ${tally.firstToken.getValueAtPercentile(50)} ms, p95 ${tally.firstToken.getValueAtPercentile(95)} ms, p99 ${tally.firstToken.getValueAtPercentile(99)} ms`);
}

async function measureRequest(fleet: EmbeddedFleet, daemon: number, request: DemoRequest, tally: Tally): Promise<void> {
	const sentAt = performance.now();
	let begun = false;
	try {
		for await (const {usage} of streamChunks(fleet, daemon, request)) {
			if (!begun) {
				begun = true;
				tally.firstToken.recordValue(Math.round(performance.now() - sentAt));
			}

			tally.promptTokens += usage?.prompt_tokens ?? 0;
			tally.cachedTokens += usage?.prompt_tokens_details.cached_tokens ?? 0;
		}

		tally.answered++;
	} catch {
		tally.failed++;
	}
}

/** Sends the same order through both routers with one idempotency key: the second router returns the stored answer. */
async function placeOrders(fleet: EmbeddedFleet): Promise<void> {
	const headers = {'idempotency-key': 'carnival-northern-ribbons'};
	const answers: string[] = [];
	for (const [daemon] of fleet.daemons.entries()) {
		const res = await post(fleet, {
			daemon, path: '/services/orderdesk/orders', workspace: 'school-1', body: {ribbons: 40}, headers,
		});
		answers.push(`${res.status} ${await res.text()}`);
	}

	console.log(`One print order sent through both routers: ${answers.join(' | ')}`);
	console.log(`  the service ran it ${fleet.services[0].executions.size} time(s)`);
}
