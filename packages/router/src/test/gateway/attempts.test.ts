import {assert} from 'chai';
import {EndpointBrokenError, EndpointRefusedError} from '../../endpoints.js';
import {type EngineLoad, type Placer} from '../../gateway.js';
import {runAttempts} from '../../lib/gateway/attempts.js';

const load: EngineLoad = {
	incarnation: 'p1', version: 'w2', running: 0, waiting: 0, pendingPromptTokens: 0,
};
const request = {
	service: 'wordsmith', workspace: 'school-1', version: 'w1', adapter: '', pieces: [], promptTokens: 10, maxOutputTokens: 10,
};

describe('runAttempts', () => {
	let results: string[];
	let observed: string[];

	const run = async (failures: Record<string, Error>) => {
		results = [];
		observed = [];
		const placer: Placer = {
			place({excluded}) {
				const endpoint = ['a', 'b', 'c'].find(name => !excluded.has(name));
				return endpoint === undefined
					? undefined
					: {
						endpoint, incarnation: '', expectedCachedTokens: 0, expectedMs: 0,
					};
			},
			started: () => undefined,
			finished(_request, {endpoint}, {result}) {
				results.push(`${endpoint} ${result}`);
			},
			observe(endpoint) {
				observed.push(endpoint);
			},
		};
		await runAttempts({
			placer,
			budget: {deposit: () => undefined, withdraw: () => false},
			request,
			mostAttempts: 4,
			signal: new AbortController().signal,
			async attempt({endpoint}) {
				if (failures[endpoint] !== undefined) {
					throw failures[endpoint];
				}
			},
			onFailure: () => undefined,
		});
	};

	// Two engines refuse at once because they have switched to other weights. The
	// retry budget is empty, but a third engine can answer.
	it('retries a version refusal without budget, observes its load and counts no failure', async () => {
		await run({a: new EndpointRefusedError('a', 409, load), b: new EndpointRefusedError('b', 409, load)});
		assert.deepEqual(results, ['a cancelled', 'b cancelled', 'c answered']);
		assert.deepEqual(observed, ['a', 'b']);
	});

	// In an overload engines fail while they run requests; retrying each request
	// would multiply the load.
	it('gives up when an engine fails and the retry budget is empty', async () => {
		let code = '';
		try {
			await run({a: new EndpointBrokenError('a')});
		} catch (error) {
			code = (error as {code: string}).code;
		}

		assert.equal(code, 'engine_failed');
		assert.deepEqual(results, ['a failed']);
	});
});
