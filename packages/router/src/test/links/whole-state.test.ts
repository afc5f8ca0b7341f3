import {setTimeout as pause} from 'node:timers/promises';
import {assert} from 'chai';
import {
	createConfigurationFollower, createConfigurationStore, createKeyRing, issueKey, summariseConfirmations,
} from '../../configuration.js';
import {createPeerNetwork} from '../../links.js';
import {createMembership, Phase} from '../../membership.js';
import {type VmEntry} from '../../lib/platform/platform.js';
import {createConfigurationPart, createRecovery} from '../../recovery.js';
import {createFakePlatform, type FakePlatform} from '../configuration/fake-platform.js';
import {sampleDocument} from '../configuration/sample-document.js';

type Node = Awaited<ReturnType<typeof startNode>>;

const secret = 'a secret of the fleet';
const dataCentre = 'hobart-a';

/** Starts the modules that hold a daemon's state over real links, wired as in a daemon. */
async function startNode(name: string, platform: FakePlatform, vms: VmEntry[]) {
	const incarnation = BigInt(Date.now());
	const network = createPeerNetwork({
		name, incarnation, secret, tickMs: 10,
	});
	const port = await network.listen({host: '127.0.0.1', port: 0});
	const address = `127.0.0.1:${port}`;
	vms.push({
		name, role: 'entry', dataCentre, address, state: 'live',
	});
	const membership = createMembership({
		self: {
			name, incarnation, dataCentre, peerAddress: address,
		},
		vms: {read: async () => ({version: vms.length, vms: [...vms]})},
		send: network.send,
		setPeers: network.setPeers,
		peerAddressOf: vm => vm.address,
		configurationVersion: () => follower.current()?.version ?? 0,
		beatMs: 50,
		listMs: 50,
	});
	const store = createConfigurationStore({platform, reach: membership.reach, oldestLayout: membership.oldestLayout});
	const follower = createConfigurationFollower({
		loader: store, send: network.send, peers: membership.peers, reach: membership.reach, pollMs: 50,
	});
	const recovery = createRecovery({
		objects: platform.objects, send: network.send, peers: membership.peers, parts: [createConfigurationPart(follower)], canServe: follower.mayServe, holdsDuty: () => false,
	});
	for (const {handlers} of [membership, follower, recovery]) {
		network.handle(handlers);
	}

	await membership.start();
	follower.start();
	recovery.start();
	return {
		name, network, membership, store, follower, recovery, keyRing: createKeyRing(follower),
	};
}

async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await pause(5);
	}
}

describe('daemon state over real links', () => {
	it('activates a key on all daemons, revokes it, and starts a daemon from its peers while the store is down', async () => {
		// A key is issued through one of three daemons and revoked through another.
		// Then the store goes down, and a fourth daemon can start only from its peers.
		const platform = createFakePlatform();
		const vms: VmEntry[] = [];
		const nodes: Node[] = [];
		for (const name of ['vm-1', 'vm-2', 'vm-3']) {
			nodes.push(await startNode(name, platform, vms));
		}

		await until(() => nodes.every(({membership}) => membership.reach().heard === 3));
		const {key, digest} = issueKey();
		await nodes[0].store.propose(sampleDocument(1, [digest]), {expectedVersion: 0, who: 'ana'});
		await Promise.all(nodes.map(async ({recovery, membership}) => {
			await recovery.recover();
			membership.setPhase(Phase.READY);
		}));
		assert.isTrue(nodes.every(({keyRing}) => keyRing.authenticate(key)?.keyId === 'key-0'));

		await nodes[1].store.propose(sampleDocument(1), {expectedVersion: 1, who: 'ben'});
		const isInForce = () => summariseConfirmations({version: 2, silentLimitMs: 20_000, daemons: nodes[1].membership.confirmations()}).complete;
		await until(isInForce);
		assert.isTrue(nodes.every(({keyRing}) => keyRing.authenticate(key) === undefined));

		platform.setFault(() => 'down');
		const late = await startNode('vm-4', platform, vms);
		nodes.push(late);
		await late.recovery.recover();
		assert.equal(late.follower.current()?.version, 2);

		for (const {membership, follower, recovery} of nodes) {
			membership.stop();
			follower.stop();
			recovery.stop();
		}

		await Promise.all(nodes.map(async ({network}) => network.close()));
	});
});
