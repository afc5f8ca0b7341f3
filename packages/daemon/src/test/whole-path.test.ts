import {createHash} from 'node:crypto';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {assert} from 'chai';
import {createConfigurationStore} from 'hickorywalk/configuration.js';
import {createHttpPlatform} from 'hickorywalk/platform.js';
import OpenAI from 'openai';
import {startProcess, type StartedProcess} from './processes.js';

const key = 'hw-test-key-of-school-1';

async function untilReady(url: string): Promise<void> {
	for (;;) {
		const res = await fetch(`${url}/ready`);
		if (res.ok) {
			return;
		}

		await delay(20);
	}
}

describe('end to end, with each component in its own process', () => {
	let directory: string;
	const started: StartedProcess[] = [];
	const start = async (...args: string[]) => {
		const child = await startProcess(...args);
		started.push(child);
		return child;
	};

	before(async () => {
		directory = await mkdtemp(join(tmpdir(), 'hickorywalk-'));
	});

	after(async () => {
		for (const child of started) {
			child.child.kill('SIGKILL');
		}

		await rm(directory, {recursive: true});
	});

	it('streams one answer and places one order through two routers', async () => {
		const platform = await start('standin', 'platform');
		const engines = [await start('standin', 'engine'), await start('standin', 'engine')];
		const service = await start('standin', 'service');
		const client = createHttpPlatform({baseUrl: platform.url});
		await createConfigurationStore({platform: client}).propose({
			layout: 1,
			dataCentres: [{name: 'hobart-a', region: 'tasmania'}],
			workspaces: [{
				name: 'school-1',
				keys: [{id: 'school-1-a', digest: createHash('sha256').update(key).digest('hex')}],
				tokensPerSecond: 100_000,
				burstTokens: 1_000_000,
				services: ['wordsmith', 'orderdesk'],
			}],
			services: [
				{
					kind: 'model', name: 'wordsmith', model: 'wordsmith', version: 'w1',
				},
				{kind: 'plain', name: 'orderdesk'},
			],
			endpoints: [
				...engines.map((engine, index) => ({
					name: `ws-${index}`, service: 'wordsmith', vm: `vm-${index}`, dataCentre: 'hobart-a', address: engine.url,
				})),
				{
					name: 'od-0', service: 'orderdesk', vm: 'vm-9', dataCentre: 'hobart-a', address: service.url,
				},
			],
		}, {expectedVersion: 0, who: 'ana'});
		await client.close();
		const routers: StartedProcess[] = [];
		for (const name of ['router-a', 'router-b']) {
			const file = join(directory, `${name}.json`);
			await writeFile(file, JSON.stringify({
				name, dataCentre: 'hobart-a', platform: {url: platform.url}, fleetSecret: 'a-secret-for-this-test',
			}));
			const router = await start('serve', '--settings', file);
			routers.push(router);
		}

		await fetch(`${platform.url}/control/vms`, {
			method: 'PUT',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(routers.map((router, index) => ({
				name: ['router-a', 'router-b'][index], role: 'entry', dataCentre: 'hobart-a', address: router.peers, state: 'live',
			}))),
		});
		for (const router of routers) {
			await untilReady(router.url);
		}

		for (const router of routers) {
			const openai = new OpenAI({baseURL: `${router.url}/v1`, apiKey: key, maxRetries: 0});
			const stream = await openai.chat.completions.create({
				model: 'wordsmith',
				max_completion_tokens: 12,
				stream: true,
				messages: [{role: 'system', content: 'house roll '.repeat(3000)}, {role: 'user', content: 'Draft a certificate.'}],
			});
			let words = 0;
			for await (const chunk of stream) {
				words += chunk.choices[0].delta.content === '' ? 0 : 1;
			}

			assert.equal(words, 12);
		}

		const answer = await fetch(`${routers[1].url}/services/orderdesk/orders`, {
			method: 'POST',
			headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json'},
			body: JSON.stringify({ribbons: 40}),
		});
		assert.equal(answer.status, 200);
		assert.deepEqual(await answer.json(), {placed: {ribbons: 40}});
		for (const router of routers) {
			assert.equal(await router.stop(), 0);
		}
	});
});
