/** Wires the parts that coordinate daemons: peer links, membership, configuration, limits, recovery. */
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
			log.warn('A newer configuration version could not be put in force.', {version, err});
		},
	});
	network.handle(follower.handlers);
	return follower;
}

export function wireConfiguration({follower}: Parts): Parts['configuration'] {
	const index = createCurrentIndex(follower.current);
	return () => (follower.mayServe() ? index() : undefined);
}

/** The limiter takes rates from the document; {@link updateLimiterPeers} gives it the running daemons. */
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

/** Gives the limiter the running daemons, now and at each change of membership. */
export function updateLimiterPeers({membership, limiter, settings}: Parts): void {
	const setRunningPeers = () => {
		const running = membership.members().filter(member => member.status === 'live' || member.status === 'starting');
		limiter.setPeers(running.filter(member => member.name !== settings.name));
	};

	membership.subscribe(setRunningPeers);
	setRunningPeers();
}

/** Largest number of prefixes in a snapshot, at about 100 bytes each. */
const maxSnapshotPrefixes = 4096;

/**
 * A daemon that restarts imports the state of its peers: the configuration, and
 * where prefixes are cached. The configuration has to be imported first, since
 * cached prefixes are recorded by endpoint.
 */
export function wireRecovery(parts: Parts): Recovery {
	const {platform, network, membership, follower, placer, log, settings} = parts;
	const hasHeardIssuers = createIssuerCheck(parts);
	const recovery = createRecovery({
		objects: platform.objects,
		send: network.send,
		peers: membership.peers,
		parts: [
			createConfigurationPart(follower),
			{
				name: 'routing',
				exportContent: () => placer.snapshot(maxSnapshotPrefixes),
				importContent(content) {
					// Also undefined while this daemon may not serve by it: until then the
					// placer has no endpoints, and would drop the whole snapshot.
					if (parts.configuration() === undefined) {
						throw new RecoveryPartError('The cached prefixes can\'t be imported before the configuration is in force. They are requested again.');
					}

					parts.refreshEndpoints();
					placer.restore(content);
				},
			},
		],
		fewestWarmUpMs: settings.fewestWarmUpMs,
		canServe: () => follower.mayServe() && parts.limiter.isReady() && hasHeardIssuers(),
		// A second writer would only duplicate work, so choosing the first live name is enough.
		holdsDuty: () => liveNames(parts)[0] === settings.name,
		onFault(err) {
			log.warn('A part of the recovery state could not be read, imported or written.', {err});
		},
	});
	network.handle(recovery.handlers);
	return recovery;
}

/**
 * A daemon that knows which daemons issue token shares, but can't reach them, has
 * no tokens: it would refuse every valid request with 429. The table names the
 * issuers at once, while the VM list with their addresses lags behind, so the
 * daemon stays unready until it has heard from all of them. After `issuerWaitMs`
 * it no longer waits for silent issuers, provided that it has heard from one.
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

/** Names of the daemons that the membership regards as live, sorted. */
export function liveNames({membership}: Parts): string[] {
	return membership.members().filter(member => member.status === 'live').map(member => member.name).toSorted();
}
