/** One daemon: starts its parts in order, and stops without cutting a request. */
import {setTimeout as delay} from 'node:timers/promises';
import {Phase} from 'hickorywalk/links.js';
import {createParts} from './container.js';
import {type Settings} from './settings.js';
import {followMembers} from './wiring/fleet-wiring.js';
import {type Parts} from './wiring/parts.js';

/** A running daemon. */
export type Daemon = {
	/** Name of the daemon and of its VM. */
	name: string;
	/** Base URL for callers. */
	callersUrl: string;
	/** Base URL for operators. */
	administrationUrl: string;
	/** Host and port for other daemons. */
	peerAddress: string;
	/** Resolves once the daemon tells the balancer that it is ready. */
	ready: () => Promise<void>;
	/** Unready first, then every request under way ends, then the parts stop. */
	stop: () => Promise<void>;
};

const readyPollMs = 20;
const refreshMs = 250;

/** Starts a daemon; it serves as soon as it knows the configuration in force. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
	const {cradle: parts} = await createParts(settings);
	// The peer port comes first: whoever has it knows that an older process of
	// this daemon is gone, and others learn where to answer.
	const peerPort = await parts.network.listen(settings.peers);
	parts.state.peerAddress = settings.peers.advertise ?? `${settings.peers.host}:${peerPort}`;
	const callersUrl = await parts.server.listen(settings.callers);
	const administrationUrl = await parts.administration.listen(settings.administration);
	await parts.membership.start();
	followMembers(parts);
	parts.follower.start();
	const starting = startParts(parts);
	const refresh = setInterval(parts.refreshEndpoints, refreshMs);
	parts.log.info(`Serving callers at ${callersUrl}.`);
	return {
		name: settings.name,
		callersUrl,
		administrationUrl,
		peerAddress: parts.state.peerAddress,
		ready: async () => starting,
		async stop() {
			clearInterval(refresh);
			await stopParts(parts);
		},
	};
}

/**
 * A daemon without configuration can't tell whose key it sees, one without
 * shares would refuse rightful requests, and one that has asked no engine
 * places at random. The balancer is told to wait for all three.
 */
async function startParts(parts: Parts): Promise<void> {
	// Where to find a workspace's shares is known only with its limits, so the
	// limiter starts once a configuration is there, whatever its source.
	void untilTrue(() => parts.follower.current() !== undefined).then(parts.limiter.start);
	const {timeToServeMs} = await parts.recovery.recover();
	parts.log.info('Recovered.', {ms: Math.round(timeToServeMs)});
	parts.endpointWatch.start();
	await parts.endpointWatch.sweep();
	parts.refreshEndpoints();
	parts.serviceLevels.start();
	parts.upkeep.start();
	parts.rollouts.start();
	void parts.leases.start();
	parts.recovery.start();
	parts.state.ready = true;
	parts.membership.setPhase(Phase.READY);
}

async function untilTrue(isTrue: () => boolean): Promise<void> {
	while (!isTrue()) {
		await delay(readyPollMs, undefined, {ref: false});
	}
}

async function stopParts(parts: Parts): Promise<void> {
	parts.state.ready = false;
	parts.membership.setPhase(Phase.LEAVING);
	// The balancer takes a moment to see that this daemon is unready; what it
	// still sends meanwhile is served.
	await delay(parts.settings.drainMs);
	await parts.server.close();
	await parts.serviceProxy.drain();
	await parts.limiter.returnShares();
	parts.limiter.close();
	await parts.serviceLevels.stop();
	await parts.upkeep.stop();
	parts.rollouts.stop();
	await parts.leases.release();
	parts.leases.close();
	parts.recovery.stop();
	parts.endpointWatch.stop();
	parts.follower.stop();
	parts.membership.setPhase(Phase.LEFT);
	parts.membership.stop();
	await parts.administration.close();
	await parts.network.close();
	await parts.engines.close();
	await parts.engineProbe.close();
	await parts.engineControl.close();
	await parts.platform.close();
}
