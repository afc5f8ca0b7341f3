import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {assert} from 'chai';
import {type EmbeddedFleet, startEmbeddedFleet} from '../lib/embedded-fleet.js';

const message = {role: 'user', content: 'A short question.'};

/** Sends a request through one daemon, reads the body and resolves to the status. */
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

describe('service guarantees, with complete daemons', () => {
	let fleet: EmbeddedFleet;
	afterEach(async () => fleet.stop());

	// The table names the issuer of token shares at once, but the VM list gives its
	// address only later. A daemon that reported ready before then refused valid
	// requests.
	it('is not ready before it can reach the issuer of its token shares', async () => {
		fleet = await startEmbeddedFleet({engines: [{}], daemons: 2, listLagMs: 1500});
		assert.equal(await ask(fleet, 0), 200);
		assert.equal(await ask(fleet, 1), 200);
	});

	// The key is withdrawn while the caller keeps its connection open. Each request
	// is checked anew, so requests on that connection get 401 as soon as the daemon
	// has the new version.
	it('refuses a withdrawn key on a connection opened before the withdrawal', async () => {
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

	// The router is stopped in the middle of a stream. It reports unready, completes
	// the requests in progress and then exits, so the caller gets the whole stream.
	it('completes every stream before a planned stop is over', async () => {
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

	// The platform reports that an endpoint's VM is leaving. Once the daemon knows,
	// the endpoint gets no more requests; callers notice nothing.
	it('sends no new requests to a leaving endpoint', async () => {
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

	// Both engines have loaded new weights since their last load probe, so the
	// chosen version is gone. Each attempt is refused; the request then asks for the
	// document's version and is answered.
	it('answers when all replicas changed weights since their last load probe', async () => {
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

		// The new document may take a moment to come into force.
		let status = await ask(fleet, 0);
		while (status === 503) {
			await delay(50);
			status = await ask(fleet, 0);
		}

		assert.equal(status, 200);
	});

	// An operator asks for new weights. One daemon takes the rollout duty and loads
	// one engine after another; requests move to the loaded engines, and callers get
	// answers throughout.
	it('rolls out new weights while it serves requests', async () => {
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

	// The document asks for weights that no replica has loaded yet. Requests still go
	// to the replicas with the old weights, and callers get answers throughout.
	it('serves the old weights until a replica has loaded the new ones', async () => {
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
