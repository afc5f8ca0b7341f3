import {assert} from 'chai';
import {z} from 'zod';
import {createKeyRing} from '../../configuration.js';
import {setLogWriter, createLog} from '../../observability.js';
import {PlatformUnavailableError} from '../../platform.js';
import {sampleDocument} from '../configuration/sample-document.js';
import {type Answer, startServer} from './administration-fixture.js';

const openApiSchema = z.object({
	openapi: z.string(),
	paths: z.record(z.string(), z.record(z.string(), z.object({parameters: z.array(z.object({name: z.string()})), responses: z.unknown()}))),
});

type Started = Awaited<ReturnType<typeof startServer>>;

describe('administration server', () => {
	let started: Started;

	const start = async (overrides?: Parameters<typeof startServer>[0]): Promise<Started['call']> => {
		started = await startServer(overrides);
		return started.call;
	};

	afterEach(async () => {
		await started.close();
	});

	/** Starts the server with version 1 accepted. */
	const startWithDocument = async (overrides?: Parameters<typeof startServer>[0]): Promise<Started['call']> => {
		const call = await start(overrides);
		const {status} = await call('ana', 'PUT', '/v1/configuration', {body: sampleDocument(), ifMatch: '"0"'});
		assert.equal(status, 200);
		return call;
	};

	const withRate = (tokensPerSecond: number) => ({body: sampleDocument(tokensPerSecond)});

	it('shows and changes the configuration, and reports where a change is in force', async () => {
		const call = await startWithDocument();
		const changed = await call('ana', 'PUT', '/v1/configuration', {...withRate(2000), ifMatch: '"1"'});
		assert.equal(changed.headers.get('etag'), '"2"');
		assert.equal(changed.body.text, 'committed, in force on 8 of 9, waiting for vm-3');
		const shown = await call('reader', 'GET', '/v1/configuration');
		assert.equal(shown.headers.get('etag'), '"2"');
		assert.equal(shown.headers.get('cache-control'), 'no-store');
		assert.equal(shown.body.document?.workspaces[0].tokensPerSecond, 2000);
	});

	it('refuses unknown clients before it reads their body, and changes by operators with the role read', async () => {
		const call = await startWithDocument();
		const stranger = await call(undefined, 'PUT', '/v1/configuration', {body: 'x'.repeat(17 * 1024 * 1024), ifMatch: '"1"'}).catch(() => undefined);
		assert.oneOf(stranger?.status, [401, undefined], 'refused, or connection closed while sending');
		const unread = await call(undefined, 'POST', '/v1/configuration/check', {body: 'no document'});
		assert.equal(unread.status, 401);
		assert.equal(unread.headers.get('www-authenticate'), 'Bearer');
		const reader = await call('reader', 'PUT', '/v1/configuration', {...withRate(2000), ifMatch: '"1"'});
		assert.deepEqual([reader.status, reader.body.error.code], [403, 'operator_role']);
		for (const [method, path] of [['POST', '/v1/workspaces/school-1/keys'], ['DELETE', '/v1/workspaces/school-1/keys/k'], ['POST', '/v1/orders/settlements']]) {
			const {status} = await call('reader', method, path, {body: {}, ifMatch: '"1"'});
			assert.equal(status, 403, path);
		}
	});

	// Ana and Ben load version 1. Ben's change is accepted before Ana's arrives.
	// Without the version check hers would undo his unnoticed.
	it('answers the later of two concurrent changes with the difference, and accepts it once corrected', async () => {
		const call = await startWithDocument();
		const bensDocument = sampleDocument();
		bensDocument.workspaces[1].tokensPerSecond = 700;
		await call('ben', 'PUT', '/v1/configuration', {body: bensDocument, ifMatch: '"1"'});
		const {status, body: {error}} = await call('ana', 'PUT', '/v1/configuration', {...withRate(2000), ifMatch: '"1"'});
		assert.equal(status, 412);
		assert.equal(error.currentVersion, 2);
		assert.deepEqual(error.theirs, [{path: 'workspaces[school-2].tokensPerSecond', before: 500, after: 700}]);
		assert.includeDeepMembers(error.yours, [{path: 'workspaces[school-1].tokensPerSecond', before: 1000, after: 2000}]);
		const mended = sampleDocument(2000);
		mended.workspaces[1].tokensPerSecond = 700;
		const again = await call('ana', 'PUT', '/v1/configuration', {body: mended, ifMatch: '"2"'});
		assert.equal(again.headers.get('etag'), '"3"');
	});

	it('refuses a change without the version that it is based on', async () => {
		const call = await startWithDocument();
		for (const ifMatch of [undefined, '*', 'W/"1"', '1', '"1", "2"', '"one"']) {
			const {status} = await call('ana', 'PUT', '/v1/configuration', {...withRate(2000), ...(ifMatch !== undefined && {ifMatch})});
			assert.equal(status, 428, String(ifMatch));
		}
	});

	it('checks a document without changing anything', async () => {
		const call = await startWithDocument();
		const good = await call('reader', 'POST', '/v1/configuration/check', withRate(2000));
		assert.deepEqual(good.json, {faults: [], currentVersion: 1, changes: [{path: 'workspaces[school-1].tokensPerSecond', before: 1000, after: 2000}]});
		const broken = sampleDocument();
		broken.workspaces[0].services = ['nowhere'];
		const bad = await call('reader', 'POST', '/v1/configuration/check', {body: broken});
		assert.deepEqual(bad.body.faults, [{path: 'workspaces[0].services[0]', message: 'there is no service "nowhere"'}]);
		const refused = await call('ana', 'PUT', '/v1/configuration', {body: broken, ifMatch: '"1"'});
		assert.deepEqual([refused.status, refused.body.error.faults.length], [422, 1]);
		const shown = await call('reader', 'GET', '/v1/configuration');
		assert.equal(shown.body.version, 1);
	});

	it('issues a working key, shows it only once, and withdraws it', async () => {
		const lines: string[] = [];
		const restore = setLogWriter(line => {
			lines.push(line);
		});
		const call = await startWithDocument({log: createLog('administration')});
		const authenticate = async (key: string) => {
			const accepted = await started.store.read();
			return createKeyRing({current: () => accepted, mayServe: () => true}).authenticate(key);
		};

		const issued = await call('ana', 'POST', '/v1/workspaces/school-1/keys', {body: {id: 'till-1'}, ifMatch: '"1"'});
		assert.equal(issued.status, 201);
		const {key} = issued.body;
		const caller = await authenticate(key);
		assert.deepEqual([caller?.workspace.name, caller?.keyId], ['school-1', 'till-1']);
		const again = await call('ana', 'POST', '/v1/workspaces/school-1/keys', {body: {id: 'till-1'}, ifMatch: '"2"'});
		assert.deepEqual([again.status, again.body.error.code], [409, 'already_there']);
		const withdrawn = await call('ben', 'DELETE', '/v1/workspaces/school-1/keys/till-1', {ifMatch: '"2"'});
		assert.deepEqual([withdrawn.status, withdrawn.body.waitingFor], [200, ['vm-3']]);
		assert.isUndefined(await authenticate(key));
		restore();
		const {body: {versions}} = await call('reader', 'GET', '/v1/configuration/history?limit=3');
		assert.deepEqual(versions.map(entry => [entry.version, entry.who]), [[3, 'ben'], [2, 'ana'], [1, 'ana']]);
		const {body: {changes}} = await call('reader', 'GET', '/v1/configuration/versions/3');
		assert.deepEqual(changes.map(change => change.path), ['workspaces[school-1].keys[till-1]']);
		assert.lengthOf(lines, 3, 'one line for each change');
		const rows = JSON.stringify([...started.platform.rows]);
		const blobs = [...started.platform.blobs.values()].map(blob => new TextDecoder().decode(blob));
		assert.notInclude([...lines, rows, ...blobs].join(''), key);
	});

	// Ana's request to issue a key is refused because Ben's change came first. If
	// the key were added to the document that the store caches, the next reader
	// would see a key that was never accepted.
	it('does not show a key whose change was refused', async () => {
		const call = await startWithDocument();
		await call('ben', 'PUT', '/v1/configuration', {...withRate(3000), ifMatch: '"1"'});
		const refused = await call('ana', 'POST', '/v1/workspaces/school-1/keys', {body: {id: 'till-1'}, ifMatch: '"1"'});
		assert.equal(refused.status, 412);
		assert.notInclude(refused.text, '"key"');
		const shown = await call('reader', 'GET', '/v1/configuration');
		assert.deepEqual(shown.body.document?.workspaces[0].keys, []);
	});

	// The table applies the change, but its answers are lost until the daemon gives
	// up. The operator gets an unknown outcome and can query it by the token.
	it('reports an unknown outcome, and the outcome on a later query', async () => {
		const call = await startWithDocument();
		let isLost = false;
		started.platform.setFault(kind => {
			isLost ||= kind === 'write' && [...started.platform.rows.values()].some(row => row.key.endsWith('2'));
			return isLost ? 'down' : 'none';
		});
		const {transact} = started.platform.table;
		started.platform.table.transact = async writes => {
			await transact(writes);
			isLost = true;
			throw new PlatformUnavailableError('lost', true);
		};

		const {status, body: {error}} = await call('ana', 'PUT', '/v1/configuration', {...withRate(2000), ifMatch: '"1"'});
		assert.deepEqual([status, error.code, error.version], [504, 'configuration_outcome_unknown', 2]);
		started.platform.setFault(() => 'none');
		const {json} = await call('ana', 'GET', `/v1/configuration/versions/2/attempts/${error.token}`);
		assert.deepEqual(json, {outcome: 'accepted'});
	});

	it('lists orders with unknown outcome and settles them in the operator\'s name', async () => {
		const settled: unknown[] = [];
		const order = {
			id: 'orders/a', workspace: 'school-1', service: 'orderdesk', requestId: 'r-1', method: 'POST', path: '/orders', createdMs: 1, endpoint: 'od-1', reason: 'no answer',
		};
		const call = await start({
			unknownOrders: {
				listUnknownOrders: async () => [order],
				async settleUnknownOrder(...args) {
					settled.push(args);
				},
			},
		});
		const listed = await call('reader', 'GET', '/v1/orders/unknown');
		assert.deepEqual(listed.json, {orders: [order]});
		const answer = await call('ana', 'POST', '/v1/orders/settlements', {body: {id: 'orders/a', outcome: 'not_run'}});
		assert.equal(answer.status, 200);
		assert.deepEqual(settled, [['orders/a', 'not_run', 'ana']]);
		const wrong = await call('ana', 'POST', '/v1/orders/settlements', {body: {id: 'orders/a', outcome: 'perhaps'}});
		assert.deepEqual([wrong.status, wrong.body.error.faults[0].path], [400, 'body: outcome']);
	});

	it('does not reveal the details of an internal error', async () => {
		const call = await start({
			status() {
				throw new Error('a pupil\'s name');
			},
		});
		const {status, text, headers} = await call('reader', 'GET', '/v1/status');
		assert.equal(status, 500);
		assert.notInclude(text, 'pupil');
		assert.isString(headers.get('x-request-id'));
	});

	it('describes every route in OpenAPI, including the required If-Match of changes', async () => {
		const call = await startWithDocument();
		const {json} = await call('reader', 'GET', '/v1/openapi.json');
		const openApi = openApiSchema.parse(json);
		assert.equal(openApi.openapi, '3.1.0');
		const versioned: string[] = [];
		for (const [path, methods] of Object.entries(openApi.paths)) {
			for (const [method, {parameters}] of Object.entries(methods)) {
				const names = parameters.map(parameter => parameter.name);
				assert.includeMembers(names, [...path.matchAll(/\{(\w+)\}/gv)].map(match => match[1]), path);
				if (names.includes('If-Match')) {
					versioned.push(`${method} ${path}`);
				}
			}
		}

		assert.sameMembers(versioned, ['put /v1/configuration', 'post /v1/workspaces/{workspace}/keys', 'delete /v1/workspaces/{workspace}/keys/{key}']);
		const shown = JSON.stringify(openApi.paths['/v1/configuration'].get.responses);
		assert.include(shown, 'Rate in tokens a second over all VMs together.', 'the schema of the document');
	});

	it('serves the burn report as JSON and as text, and no HTML without a renderer', async () => {
		const call = await start();
		const asText: Answer = await call('reader', 'GET', '/v1/reports/burn?format=text');
		assert.include(asText.text, 'no objective burns');
		const asJson = await call('reader', 'GET', '/v1/reports/burn');
		assert.deepEqual(asJson.body.objectives, []);
		const asHtml = await call('reader', 'GET', '/v1/reports/burn?format=html');
		assert.equal(asHtml.status, 404);
	});
});
