/** What all scripts share: the record, the operator's configuration, and how a case ends. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {startDaemons} from './fleet.js';
import {startStore} from './store.js';

const exitHeld = 0;
const exitBroken = 1;
const exitCouldNotRun = 2;
const maxRunMs = 110_000;

/** Whether the case is run with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** A configuration with a plain service and a model's service. */
export const configuration = {
	version: 7,
	routes: [
		{
			name: 'lookup', host: 'desk.example', prefix: '/look/', kind: 'safe', timeout_ms: 8000, target_latency_ms: 4000, priority: 2, service: 'desk', max_attempts: 2, public: false,
		},
		{
			name: 'words', host: 'words.example', prefix: '/words/', kind: 'streaming', timeout_ms: 15_000, target_latency_ms: 400, priority: 0, service: 'engines', max_attempts: 2, public: false,
			session_affinity: true, resumable: true, gap_aim_ms: 250,
		},
		{
			name: 'check', host: 'words.example', prefix: '/check/', kind: 'streaming', timeout_ms: 15_000, target_latency_ms: 600, priority: 1, service: 'engines', max_attempts: 1, public: false,
			session_affinity: true, resumable: false, gap_aim_ms: 250,
		},
	],
	services: [
		{name: 'desk', health_path: '/healthz', max_connections: 110},
		{
			name: 'engines', health_path: '/healthz', max_connections: 370, engine: {
				slots: 64, kv_tokens: 90_000, kv_bytes: 163_840, link_mbps: 550_000, models: [{name: 'm1'}],
			},
		},
	],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
	tenants: [{
		name: 'school', api_keys: ['key-of-school'], unit: 'token_count', plain_tokens: 10, rate_per_s: 10_000_000, burst: 50_000_000,
	}],
};

/** Prompts of 16 subjects, each with a long part that its prompts share. */
const subjects = 16;
let prompts = 0;

function modelHeaders() {
	prompts++;
	return {Model: 'm1', 'Token-Usage': '7100,30', 'Prompt-Prefix': `a${prompts % subjects}:6300,b${prompts}:800`};
}

/** A client's request on a route of the configuration. */
export const requestFor = (route, attempt) => ({
	method: route === 'look' ? 'GET' : 'POST',
	path: `/${route}/1`,
	headers: {
		Host: route === 'look' ? 'desk.example' : 'words.example', 'Attempt-Id': attempt, 'X-Api-Key': 'key-of-school', 'Deadline-Ms': '15000', ...(route !== 'look' && modelHeaders()),
	},
	body: route === 'look' ? '' : 'a prompt',
});

/** Runs a case in `folder` with this many daemons; `play` resolves to the sentences that say how the rule was broken. */
export async function runCase(folder, daemonCount, play) {
	const startedAt = performance.now();
	const lines = [];
	const record = line => {
		lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}`);
	};

	const finish = (status, sentence) => {
		record(sentence);
		writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		process.stdout.write(`${sentence}\n`);
		process.exitCode = status;
	};

	const closers = [];
	const timer = setTimeout(() => {
		finish(exitCouldNotRun, 'The case took too long.');
		for (const close of closers) {
			close();
		}

		process.exit(exitCouldNotRun);
	}, maxRunMs);

	try {
		const store = await startStore();
		closers.push(store.close);
		store.put('op', 'config', configuration);
		store.put('op', 'version/m1', {model: 'm1', version: 1});
		await play({
			store,
			record,
			closers,
			async startFleet() {
				const fleet = await startDaemons(daemonCount, store.address, record);
				closers.unshift(fleet.close);
				await fleet.allReady();
				// The daemons hear of each other.
				await sleep(3000);
				return fleet;
			},
			report(broken) {
				finish(broken.length > 0 ? exitBroken : exitHeld, broken.length > 0 ? `The rule was broken ${broken.length} times:\n${broken.join('\n')}` : 'The rule held.');
			},
		});
	} catch (error) {
		finish(exitCouldNotRun, `The case could not run: ${error.stack}`);
	}

	clearTimeout(timer);
	for (const close of closers) {
		close();
	}
}
