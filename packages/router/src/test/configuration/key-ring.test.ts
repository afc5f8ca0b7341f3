import {assert} from 'chai';
import fastify from 'fastify';
import {Client} from 'undici';
import {
	type AcceptedDocument, createKeyRing, issueKey, summariseConfirmations,
} from '../../configuration.js';
import {sampleDocument} from './sample-document.js';

describe('createKeyRing', () => {
	it('refuses a withdrawn key on a connection that was open before', async () => {
		// A caller keeps one connection open. Its key is withdrawn between two
		// requests; what the connection was allowed before must not count.
		const {key, digest} = issueKey();
		let accepted: AcceptedDocument = {version: 1, document: sampleDocument(1, [digest])};
		const ring = createKeyRing({current: () => accepted, mayServe: () => true});
		const app = fastify();
		const sockets = new Set<unknown>();
		app.get('/', async (req, res) => {
			sockets.add(req.raw.socket);
			const caller = ring.authenticate(req.headers.authorization ?? '');
			return res.code(caller === undefined ? 401 : 200).send(caller?.workspace.name ?? '');
		});
		const client = new Client(await app.listen({port: 0, host: '127.0.0.1'}));
		const status = async () => {
			const res = await client.request({method: 'GET', path: '/', headers: {authorization: key}});
			await res.body.dump();
			return res.statusCode;
		};

		assert.equal(await status(), 200);
		accepted = {version: 2, document: sampleDocument(1)};
		assert.equal(await status(), 401);
		assert.equal(sockets.size, 1);
		await client.close();
		await app.close();
	});

	it('takes no key while the daemon may not serve, and none but the whole key', () => {
		const {key, digest} = issueKey();
		let mayServe = true;
		const ring = createKeyRing({current: () => ({version: 1, document: sampleDocument(1, [digest])}), mayServe: () => mayServe});
		assert.equal(ring.authenticate(key)?.keyId, 'key-0');
		assert.isUndefined(ring.authenticate(key.slice(0, -1)));
		assert.isUndefined(ring.authenticate(digest));
		mayServe = false;
		assert.isUndefined(ring.authenticate(key));
	});
});

describe('summariseConfirmations', () => {
	const daemon = (index: number, version: number, silentMs = 100) => ({vm: `vm-${index}`, version, silentMs});

	it('names the VM that has not confirmed, and counts a silent one only after the bound', () => {
		const eight = Array.from({length: 8}, (_, index) => daemon(index, 5));
		const waiting = summariseConfirmations({version: 5, silentLimitMs: 20_000, daemons: [...eight, daemon(8, 4, 19_000)]});
		assert.equal(waiting.text, 'committed, in force on 8 of 9, waiting for vm-8');
		const done = summariseConfirmations({version: 5, silentLimitMs: 20_000, daemons: [...eight, daemon(8, 4, 21_000)]});
		assert.isTrue(done.complete);
		assert.deepEqual(done.stopped, ['vm-8']);
	});

	it('does not count a silent half as stopped', () => {
		// A silent majority hears itself, so that it may serve on without the store.
		const half = [daemon(0, 5), daemon(1, 5), daemon(2, 4, 1e9), daemon(3, 4, 1e9)];
		assert.isFalse(summariseConfirmations({version: 5, silentLimitMs: 20_000, daemons: half}).complete);
	});
});
