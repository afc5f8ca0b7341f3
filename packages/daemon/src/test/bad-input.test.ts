import {connect} from 'node:net';
import {assert} from 'chai';
import fc from 'fast-check';
import {type EmbeddedFleet, startEmbeddedFleet} from '../lib/embedded-fleet.js';

describe('invalid input', () => {
	let fleet: EmbeddedFleet;
	before(async () => {
		fleet = await startEmbeddedFleet({
			engines: [{}],
			daemons: 1,
			edit(document) {
				document.workspaces[1].burstTokens = 300;
			},
			settings: {gateway: {largestBodyBytes: 100_000, largestOutputTokens: 500}},
		});
	});
	after(async () => fleet.stop());

	const send = async (body: string, headers: Record<string, string> = {}) => fetch(`${fleet.daemons[0].callersUrl}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${fleet.keys['school-1']}`, 'content-type': 'application/json', ...headers},
		body,
	});
	const message = {role: 'user', content: 'hello'};
	const good = JSON.stringify({model: 'wordsmith', max_tokens: 2, messages: [message]});

	const cases: Array<[string, () => Promise<Response>, number, string]> = [
		['a body that is not valid JSON', async () => send('{"model":'), 400, 'invalid_request'],
		['an empty body', async () => send(''), 400, 'invalid_request'],
		['a body of another type', async () => send('model', {'content-type': 'text/plain'}), 400, 'invalid_request'],
		['a field of the wrong type', async () => send(JSON.stringify({model: 'wordsmith', messages: 3})), 400, 'invalid_request'],
		['an output bound above the largest', async () => send(JSON.stringify({model: 'wordsmith', max_tokens: 501, messages: [message]})), 400, 'invalid_request'],
		['a body that is too large', async () => send(JSON.stringify({model: 'x'.repeat(200_000)})), 413, 'request_too_large'],
		['an unknown model', async () => send(JSON.stringify({model: 'none', messages: [message]})), 404, 'model_not_found'],
		['an unknown adapter', async () => send(JSON.stringify({model: 'wordsmith:none', messages: [message]})), 404, 'model_not_found'],
		['a wrong key', async () => send(good, {authorization: 'Bearer wrong'}), 401, 'invalid_api_key'],
		['a missing key', async () => send(good, {authorization: ''}), 401, 'invalid_api_key'],
		['an unknown path', async () => fetch(`${fleet.daemons[0].callersUrl}/nowhere`), 404, 'service_not_found'],
	];

	for (const [name, call, status, code] of cases) {
		it(`answers ${name} with ${status} ${code}`, async () => {
			const res = await call();
			assert.equal(res.status, status);
			const {error} = await res.json() as {error: {code: string; message: string; not_run: boolean}};
			assert.equal(error.code, code);
			assert.isTrue(error.not_run);
			assert.isNotEmpty(error.message);
		});
	}

	// A request larger than the whole burst would never be admitted, so the caller
	// is told what to change and gets no time for a retry.
	it('answers a request larger than the burst with 400 and without Retry-After', async () => {
		const res = await send(JSON.stringify({model: 'wordsmith', max_tokens: 400, messages: [message]}), {authorization: `Bearer ${fleet.keys['school-2']}`});
		const {error} = await res.json() as {error: {code: string}};
		assert.deepEqual([res.status, error.code, res.headers.get('retry-after')], [400, 'burst_exceeded', null]);
	});

	it('answers headers that are too large with 431 and keeps serving', async () => {
		const res = await send(good, {'x-filler': 'a'.repeat(20_000)});
		assert.equal(res.status, 431);
		const after = await send(good);
		assert.equal(after.status, 200);
	});

	it('keeps serving after bytes that are not HTTP', async () => {
		const {hostname, port} = new URL(fleet.daemons[0].callersUrl);
		await fc.assert(fc.asyncProperty(fc.uint8Array({minLength: 1, maxLength: 300}), async bytes => {
			await new Promise<void>(resolve => {
				const socket = connect(Number(port), hostname, () => {
					socket.end(bytes);
				});
				socket.on('data', () => undefined);
				socket.on('error', () => {
					resolve();
				});
				socket.on('close', () => {
					resolve();
				});
			});
		}), {seed: 1, numRuns: 40});
		const after = await send(good);
		assert.equal(after.status, 200);
	});

	it('answers arbitrary JSON with 400 or 404, never with an internal error', async () => {
		await fc.assert(fc.asyncProperty(fc.json(), async json => {
			const res = await send(json);
			assert.include([400, 404], res.status);
			await res.arrayBuffer();
		}), {seed: 1, numRuns: 100});
	});
});
