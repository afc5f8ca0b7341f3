import {createHash} from 'node:crypto';
import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {assert} from 'chai';
import {operatorKeyVariable} from '../lib/administration-client.js';
import {type EmbeddedFleet, startEmbeddedFleet} from '../lib/embedded-fleet.js';

const commandLine = fileURLToPath(new URL('../hickorywalk.js', import.meta.url));
const operatorKey = 'hw-operator-key-of-ana';

type CommandResult = {code: number; out: string; err: string};

/** Runs the command line and resolves once it has exited. */
async function run(...args: string[]): Promise<CommandResult> {
	return new Promise(resolve => {
		execFile(process.execPath, [commandLine, ...args], {env: {...process.env, [operatorKeyVariable]: operatorKey}}, (error, out, err) => {
			resolve({code: typeof error?.code === 'number' ? error.code : 0, out, err});
		});
	});
}

describe('command line', () => {
	let fleet: EmbeddedFleet;
	let directory: string;
	let admin: string[];

	before(async () => {
		directory = await mkdtemp(join(tmpdir(), 'hickorywalk-'));
		fleet = await startEmbeddedFleet({
			engines: [{}],
			daemons: 1,
			settings: {operators: [{name: 'ana', role: 'change', digest: createHash('sha256').update(operatorKey).digest('hex')}]},
		});
		admin = ['--admin', fleet.daemons[0].administrationUrl];
	});

	after(async () => {
		await fleet.stop();
		await rm(directory, {recursive: true});
	});

	const fileOf = async (name: string, content: string) => {
		const file = join(directory, name);
		await writeFile(file, content);
		return file;
	};

	it('shows the document, accepts a change, and refuses a change based on an old version', async () => {
		const shown = await run('config', 'show', ...admin);
		assert.equal(shown.code, 0, shown.err);
		assert.match(shown.err, /Version 1\./v);
		const file = await fileOf('fleet.json', shown.out.replace('"burstTokens": 1000000', '"burstTokens": 900000'));
		const checked = await run('config', 'check', file);
		assert.equal(checked.code, 0);
		const difference = await run('config', 'diff', file, ...admin);
		assert.include(difference.out, 'workspaces[school-1].burstTokens');
		const applied = await run('config', 'apply', file, '--from', '1', ...admin);
		assert.equal(applied.code, 0, applied.err);
		assert.match(applied.out, /in force on 1 of 1/v);
		const late = await run('config', 'apply', file, '--from', '1', ...admin);
		assert.equal(late.code, 1);
		assert.match(late.err, /^administration_refused: 412 configuration_conflict/v);
	});

	it('names the invalid field of a document and of settings', async () => {
		const file = await fileOf('broken.json', '{"layout": 1, "dataCentres": [{"name": "Hobart"}], "workspaces": [], "services": [], "endpoints": []}');
		const checked = await run('config', 'check', file);
		assert.equal(checked.code, 1);
		assert.include(checked.err, 'dataCentres[0].name');
		const settings = await fileOf('settings.json', '{"name": "vm-1", "dataCentre": "a", "platform": {"url": "http://127.0.0.1:1"}, "fleetSecret": "short"}');
		const served = await run('serve', '--settings', settings, '--check');
		assert.equal(served.code, 1);
		assert.include(served.err, 'fleetSecret');
	});

	it('creates a key that works and withdraws it', async () => {
		const created = await run('keys', 'create', 'school-1', 'second', ...admin);
		assert.equal(created.code, 0, created.err);
		const ask = async () => {
			const res = await fetch(`${fleet.daemons[0].callersUrl}/v1/models`, {headers: {authorization: `Bearer ${created.out.trim()}`}});
			return res.status;
		};

		while (await ask() !== 200) {
			// The key is in force within seconds.
		}

		const withdrawn = await run('keys', 'withdraw', 'school-1', 'second', ...admin);
		assert.equal(withdrawn.code, 0, withdrawn.err);
		assert.equal(await ask(), 401);
	});

	it('shows status, unknown orders and the burn report', async () => {
		const status = await run('status', ...admin);
		assert.include(status.out, '"wordsmith-0"');
		const orders = await run('orders', 'unknown', ...admin);
		assert.deepEqual(JSON.parse(orders.out), {orders: []});
		const report = await run('report', 'burn', '--format', 'html', ...admin);
		assert.match(report.out, /^<!doctype html>/v);
	});

	it('records a replayable trace that holds neither prompt text nor keys', async () => {
		const recording = run('trace', 'record', '--seconds', '4', ...admin);
		const ended = new AbortController();
		void recording.then(() => {
			ended.abort();
		});
		const secret = 'the minutes of the hearing ';
		while (!ended.signal.aborted) {
			const res = await fetch(`${fleet.daemons[0].callersUrl}/v1/chat/completions`, {
				method: 'POST',
				headers: {authorization: `Bearer ${fleet.keys['school-1']}`, 'content-type': 'application/json'},
				body: JSON.stringify({model: 'wordsmith', max_tokens: 2, messages: [{role: 'user', content: secret.repeat(400)}]}),
			});
			await res.arrayBuffer();
		}

		const {out, err} = await recording;
		assert.isAbove(out.split('\n').length, 2, err);
		assert.notInclude(out, 'minutes');
		assert.notInclude(out, fleet.keys['school-1']);
		const replayed = await run('trace', 'replay', await fileOf('recorded.ndjson', out), '--policy', 'hickorywalk');
		assert.equal(replayed.code, 0, replayed.err);
		assert.include(replayed.out, '"hit_rate"');
	});

	it('names the option to use after a usage error or when no daemon is reachable', async () => {
		const unnamed = await run('nothing');
		assert.equal(unnamed.code, 2);
		assert.include(unnamed.err, '--help');
		const unreachable = await run('status', '--admin', 'http://127.0.0.1:1');
		assert.equal(unreachable.code, 1);
		assert.include(unreachable.err, '--admin');
	});
});
