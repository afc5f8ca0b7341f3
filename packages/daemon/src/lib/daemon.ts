/** Lifecycle of one daemon: starts its parts in order, and stops without interrupting a request. */
import {setTimeout as delay} from 'node:timers/promises';
import {Phase} from 'hickorywalk/links.js';
import {createParts} from './container.js';
import {type Settings} from './settings.js';
import {updateLimiterPeers} from './wiring/fleet-wiring.js';
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
	/** Resolves once the daemon reports to the load balancer that it is ready. */
	ready: () => Promise<void>;
	/** Reports unready, waits for all requests in progress, then stops the parts. */
	stop: () => Promise<void>;
};

const readyPollMs = 20;
const refreshMs = 250;

/** Starts a daemon; it serves as soon as it knows the configuration in force. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
	const {cradle: parts} = await createParts(settings);
	// The peer port is bound first: success proves that no older process of this
	// daemon still runs, and the address tells other daemons where to reply.
	const peerPort = await parts.network.listen(settings.peers, {log: parts.log});
	parts.state.peerAddress = settings.peers.advertise ?? `${settings.peers.host}:${peerPort}`;
	const callersUrl = await parts.server.listen(settings.callers, {log: parts.log});
	const administrationUrl = await parts.administration.listen(settings.administration);
	await parts.membership.start();
	updateLimiterPeers(parts);
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
 * Reports ready to the load balancer once the daemon has the configuration, token
 * shares and a first report of the engines. Without the configuration it can't
 * identify keys, without shares it would refuse valid requests, and without
 * engine reports it would place requests at random.
 */
async function startParts(parts: Parts): Promise<void> {
	// The location of a workspace's shares is known only with its limits, so the
	// limiter starts once there is a configuration, whatever its source.
	void untilTrue(() => parts.follower.current() !== undefined).then(parts.limiter.start);
	const {timeToServeMs} = await parts.recovery.recover();
	parts.log.info('Recovery is complete.', {ms: Math.round(timeToServeMs)});
	parts.endpointWatch.start();
	await parts.endpointWatch.sweep();
	parts.refreshEndpoints();
	parts.serviceLevels.start();
	parts.upkeep.start();
	parts.dutyRunner.start();
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
	// The load balancer takes a moment to notice that this daemon is unready;
	// requests that it still sends meanwhile are served.
	await delay(parts.settings.drainMs);
	await parts.server.close();
	await parts.serviceProxy.drain();
	await parts.limiter.returnShares();
	parts.limiter.close();
	await parts.serviceLevels.stop();
	await parts.upkeep.stop();
	parts.dutyRunner.stop();
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
