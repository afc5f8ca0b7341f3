/** Wires what the daemons agree on: links, membership, configuration, limits. */
import {
	type ConfigurationFollower, type ConfigurationStore, createConfigurationFollower, createConfigurationStore, createCurrentIndex,
} from 'hickorywalk/configuration.js';
import {createTokenLimiter, type FleetTokenLimiter} from 'hickorywalk/limits.js';
import {createPeerNetwork, type PeerNetwork} from 'hickorywalk/links.js';
import {createMembership, type Membership} from 'hickorywalk/membership.js';
import {createConfigurationPart, createRecovery, type Recovery} from 'hickorywalk/recovery.js';
import {RecoveryPartError} from '../daemon-errors.js';
import {type Parts} from './parts.js';

export function wireNetwork({settings, incarnation}: Parts): PeerNetwork {
	return createPeerNetwork({name: settings.name, incarnation, secret: settings.fleetSecret});
}

export function wireMembership(parts: Parts): Membership {
	const {settings, incarnation, platform, network, log} = parts;
	const membership = createMembership({
		self: {
			name: settings.name, incarnation, dataCentre: settings.dataCentre, peerAddress: parts.state.peerAddress,
		},
		vms: {
			async read() {
				const list = await platform.vms.read();
				parts.limiter.observeVmList(list);
				return list;
			},
		},
		send: network.send,
		setPeers: network.setPeers,
		peerAddressOf: vm => vm.address,
		configurationVersion: () => parts.follower.current()?.version ?? 0,
		onSuperseded() {
			log.error('A newer process of this daemon runs; this one stops serving.');
			parts.state.ready = false;
		},
		onListFault(err) {
			log.warn('The VM list can\'t be read.', {err});
		},
	});
	network.handle(membership.handlers);
	return membership;
}

export function wireConfigurationStore(parts: Parts): ConfigurationStore {
	return createConfigurationStore({
		platform: parts.platform,
		reach: () => parts.membership.reach(),
		oldestLayout: () => parts.membership.oldestLayout(),
	});
}

export function wireFollower(parts: Parts): ConfigurationFollower {
	const {configurationStore, network, log} = parts;
	const follower = createConfigurationFollower({
		loader: configurationStore,
		send: network.send,
		peers: () => parts.membership.peers(),
		reach: () => parts.membership.reach(),
		isolationLimitMs: parts.settings.isolationLimitMs,
		onRefused(version, err) {
			log.warn('A newer configuration is not in force here yet.', {version, err});
		},
	});
	network.handle(follower.handlers);
	return follower;
}

export function wireConfiguration({follower}: Parts): Parts['configuration'] {
	const index = createCurrentIndex(follower.current);
	return () => (follower.mayServe() ? index() : undefined);
}

/** The limiter follows the document's rates and the membership's live daemons. */
export function wireLimiter(parts: Parts): FleetTokenLimiter {
	const {settings, incarnation, platform, network, follower, log} = parts;
	const limiter = createTokenLimiter({
		name: settings.name,
		incarnation,
		send: network.send,
		table: platform.table,
		onError(err) {
			log.warn('The limiter could not reach the table.', {err});
		},
	});
	network.handle(limiter.handlers);
	follower.subscribe(({document}) => {
		limiter.setWorkspaces(document.workspaces);
	});
	return limiter;
}

/** Tells the limiter which daemons run, at each change of membership. */
export function followMembers({membership, limiter, settings}: Parts): void {
	const tell = () => {
		const running = membership.members().filter(member => member.status === 'live' || member.status === 'starting');
		limiter.setPeers(running.filter(member => member.name !== settings.name));
	};

	membership.subscribe(tell);
	tell();
}

/** Prefixes that a snapshot passes on; some 100 bytes each. */
const mostSnapshotPrefixes = 4096;

/**
 * A daemon that restarts takes what its peers know: the configuration, and
 * where prefixes are cached. The configuration has to come first, since
 * prefixes are remembered by endpoint.
 */
export function wireRecovery(parts: Parts): Recovery {
	const {platform, network, membership, follower, placer, log, settings} = parts;
	const hearsIssuers = createIssuerCheck(parts);
	const recovery = createRecovery({
		objects: platform.objects,
		send: network.send,
		peers: membership.peers,
		parts: [
			createConfigurationPart(follower),
			{
				name: 'routing',
				exportContent: () => placer.snapshot(mostSnapshotPrefixes),
				importContent(content) {
					// Not before the configuration may be served by either: until then
					// the placer has no endpoints, and would drop all it is told.
					if (parts.configuration() === undefined) {
						throw new RecoveryPartError('What is cached where can\'t be taken over before the configuration. It is asked for again.');
					}

					parts.refreshEndpoints();
					placer.restore(content);
				},
			},
		],
		fewestWarmUpMs: settings.fewestWarmUpMs,
		canServe: () => follower.mayServe() && parts.limiter.isReady() && hearsIssuers(),
		// More than one writer only wastes work, so the first by name is enough.
		holdsDuty: () => liveNames(parts)[0] === settings.name,
		onFault(err) {
			log.warn('A part of recovery did not come through.', {err});
		},
	});
	network.handle(recovery.handlers);
	return recovery;
}

/**
 * A daemon that knows who issues shares but can't reach them has no token to
 * give: it would refuse every rightful request with 429. The table names the
 * issuers at once, while the VM list that says where they are lags, so the
 * daemon stays unready until it has heard all of them. One that stays silent
 * keeps it out no longer than `issuerWaitMs`, as long as another is heard.
 */
function createIssuerCheck({limiter, membership, settings}: Parts): () => boolean {
	const startedAt = performance.now();
	const isHeard = (name: string) => {
		const status = membership.member(name)?.status;
		return name === settings.name || status === 'live' || status === 'starting' || status === 'leaving';
	};

	return () => {
		const issuers = [...limiter.issuers()];
		const heard = issuers.filter(name => isHeard(name));
		return heard.length === issuers.length || (heard.length > 0 && performance.now() - startedAt > settings.issuerWaitMs);
	};
}

/** Names of the daemons that are thought to serve, in order. */
export function liveNames({membership}: Parts): string[] {
	return membership.members().filter(member => member.status === 'live').map(member => member.name).toSorted();
}
