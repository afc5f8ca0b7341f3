import {assert} from 'chai';
import fastify from 'fastify';
import {Client} from 'undici';
import {
	type AcceptedDocument, createKeyRing, issueKey, summariseConfirmations,
} from '../../configuration.js';
import {sampleDocument} from './sample-document.js';

describe('createKeyRing', () => {
	it('refuses a withdrawn key on a connection opened before the withdrawal', async () => {
		// A caller keeps one connection open, and its key is withdrawn between two
		// requests. The second one must not be authorized by the first.
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

	it('accepts only a complete key, and no key while the daemon may not serve', () => {
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

	it('lists VMs that have not confirmed, and counts a silent one as stopped only after the silence limit', () => {
		const eight = Array.from({length: 8}, (_, index) => daemon(index, 5));
		const waiting = summariseConfirmations({version: 5, silentLimitMs: 20_000, daemons: [...eight, daemon(8, 4, 19_000)]});
		assert.equal(waiting.text, 'committed, in force on 8 of 9, waiting for vm-8');
		const done = summariseConfirmations({version: 5, silentLimitMs: 20_000, daemons: [...eight, daemon(8, 4, 21_000)]});
		assert.isTrue(done.complete);
		assert.deepEqual(done.stopped, ['vm-8']);
	});

	it('does not count daemons as stopped when half of them are silent', () => {
		// Silent daemons may form a majority among themselves and go on serving without the store.
		const half = [daemon(0, 5), daemon(1, 5), daemon(2, 4, 1e9), daemon(3, 4, 1e9)];
		assert.isFalse(summariseConfirmations({version: 5, silentLimitMs: 20_000, daemons: half}).complete);
	});
});
