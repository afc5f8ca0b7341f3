import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {assert} from 'chai';
import {type EmbeddedFleet, startEmbeddedFleet} from '../lib/embedded-fleet.js';

const message = {role: 'user', content: 'A short question.'};

/** Asks through one daemon and resolves to the status, with the body read. */
async function ask(fleet: EmbeddedFleet, daemon: number, agent?: Agent): Promise<number> {
	const res = await request(new URL('/v1/chat/completions', fleet.daemons[daemon].callersUrl), {
		method: 'POST',
		headers: {authorization: `Bearer ${fleet.keys['school-1']}`, 'content-type': 'application/json'},
		body: JSON.stringify({model: 'wordsmith', max_tokens: 1, messages: [message]}),
		...(agent && {dispatcher: agent}),
	});
	await res.body.dump();
	return res.statusCode;
}

describe('promises, over whole daemons', () => {
	let fleet: EmbeddedFleet;
	afterEach(async () => fleet.stop());

	// Callers get answers from a daemon as soon as it says that it is ready. The
	// table names the issuer of shares at once, the VM list says only later where
	// that one is; ready before then, the daemon refused rightful requests.
	it('is not ready before it can reach whoever issues its shares', async () => {
		fleet = await startEmbeddedFleet({engines: [{}], daemons: 2, listLagMs: 1500});
		assert.equal(await ask(fleet, 0), 200);
		assert.equal(await ask(fleet, 1), 200);
	});

	// The caller holds its connection open. The operator withdraws the key; the
	// next requests on that same connection are refused with 401 as soon as the
	// daemon has the new version, since each request is checked anew.
	it('refuses a withdrawn key on a connection held open since before', async () => {
		fleet = await startEmbeddedFleet({engines: [{}], daemons: 2});
		const agent = new Agent({connections: 1, keepAliveTimeout: 60_000});
		for (const daemon of fleet.daemons.keys()) {
			assert.equal(await ask(fleet, daemon, agent), 200);
		}

		await fleet.change(document => {
			document.workspaces[0].keys = [];
		});
		for (const daemon of fleet.daemons.keys()) {
			while (await ask(fleet, daemon, agent) !== 401) {
				await delay(50);
			}
		}

		await agent.close();
	});

	// The caller sees its whole stream, though the router is told to stop in the
	// middle of it: unready first, then what is under way ends, then the exit.
	it('ends every stream before a planned stop is over', async () => {
		fleet = await startEmbeddedFleet({engines: [{decodeMs: 5}], daemons: 2});
		const url = fleet.daemons[0].callersUrl;
		const res = await request(new URL('/v1/chat/completions', url), {
			method: 'POST',
			headers: {authorization: `Bearer ${fleet.keys['school-1']}`, 'content-type': 'application/json'},
			body: JSON.stringify({
				model: 'wordsmith', max_tokens: 100, stream: true, messages: [message],
			}),
		});
		let stopping: Promise<void> | undefined;
		let text = '';
		for await (const chunk of res.body) {
			stopping ??= fleet.daemons[0].stop();
			text += String(chunk);
		}

		assert.include(text, 'id: 99\n');
		assert.isTrue(text.endsWith('data: [DONE]\n\n'));
		await stopping;
		fleet.daemons.shift();
	});

	// Callers notice nothing. The platform says that an endpoint's VM is leaving;
	// once a daemon has heard of it, the endpoint gets no request any more.
	it('gives a leaving endpoint no new work', async () => {
		fleet = await startEmbeddedFleet({engines: [{}, {}], daemons: 1});
		const {vms} = await fleet.platform.memory.vms.read();
		fleet.platform.memory.setVms(vms.map(vm => (vm.name === 'vm-wordsmith-0' ? {...vm, state: 'leaving'} : vm)));
		let served = -1;
		while (fleet.engines[0].served.size !== served) {
			served = fleet.engines[0].served.size;
			await delay(2500);
			for (let count = 0; count < 10; count++) {
				assert.equal(await ask(fleet, 0), 200);
			}
		}
	});

	// The caller gets an answer. Both engines went over to new weights since they
	// were last asked, so the version that is chosen is gone; each attempt is
	// refused, and the request then asks for the version of the document.
	it('answers though all replicas changed their weights unseen', async () => {
		fleet = await startEmbeddedFleet({engines: [{loadMs: 0}, {loadMs: 0}], daemons: 1, settings: {engines: {probeMs: 60_000}}});
		await fleet.change(document => {
			document.services = document.services.map(service => (service.kind === 'model' ? {...service, version: 'w2'} : service));
		});
		for (const engine of fleet.engines) {
			const res = await request(new URL('/engine/orders', engine.url), {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					fencing: 1, action: 'load', model: 'wordsmith', version: 'w2',
				}),
			});
			await res.body.dump();
			while (engine.state().version !== 'w2') {
				await delay(5);
			}
		}

		// The document's new version may come into force a moment later.
		let status = await ask(fleet, 0);
		while (status === 503) {
			await delay(50);
			status = await ask(fleet, 0);
		}

		assert.equal(status, 200);
	});

	// Callers get answers all the while. An operator asks for new weights; one
	// daemon takes the duty, loads engine after engine, and requests move over.
	it('brings endpoints to new weights while it serves', async () => {
		fleet = await startEmbeddedFleet({
			engines: [{loadMs: 100}, {loadMs: 100}, {loadMs: 100}],
			daemons: 2,
			settings: {duties: {leaseMs: 3000, marginMs: 200, lingerMs: 100}},
		});
		fleet.platform.memory.setWeights([{
			model: 'wordsmith', version: 'w2', adapters: [], bytes: 1,
		}]);
		await fleet.change(document => {
			document.services = document.services.map(service => (service.kind === 'model' ? {...service, version: 'w2', minReady: 2} : service));
		});
		let turn = 0;
		while (fleet.engines.some(engine => engine.state().version !== 'w2')) {
			turn++;
			assert.equal(await ask(fleet, turn % 2), 200);
			await delay(20);
		}

		assert.equal(await ask(fleet, 0), 200);
	});

	// Callers get answers all the while. The document asks for weights that no
	// replica has loaded yet, so requests go on to the ones that are there.
	it('serves the old weights until a replica has the new ones', async () => {
		fleet = await startEmbeddedFleet({engines: [{}, {}], daemons: 1});
		await fleet.change(document => {
			document.services = document.services.map(service => (service.kind === 'model' ? {...service, version: 'w2'} : service));
		});
		for (let count = 0; count < 20; count++) {
			assert.equal(await ask(fleet, 0), 200);
			await delay(50);
		}
	});
});
