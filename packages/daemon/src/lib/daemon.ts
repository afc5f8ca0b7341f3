/** One daemon: starts its parts in order, and stops without cutting a request. */
import {setTimeout as delay} from 'node:timers/promises';
import {createParts, type Parts} from './container.js';
import {type Settings} from './settings.js';

/** A running daemon. */
export type Daemon = {
	/** Base URL for callers. */
	callersUrl: string;
	/** Resolves once the daemon tells the balancer that it is ready. */
	ready: () => Promise<void>;
	/** Unready first, then every request under way ends, then the parts stop. */
	stop: () => Promise<void>;
};

const readyPollMs = 20;

/** Starts a daemon; it serves as soon as it knows the configuration in force. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
	const {cradle: parts} = await createParts(settings);
	const callersUrl = await parts.server.listen(settings.callers);
	parts.follower.start();
	parts.endpointWatch.start();
	const becomingReady = becomeReady(parts);
	parts.log.info(`Serving callers at ${callersUrl}.`);
	return {
		callersUrl,
		ready: async () => becomingReady,
		stop: async () => stopParts(parts),
	};
}

/**
 * A daemon without configuration can't tell whose key it sees, and one that has
 * asked no engine places at random; both would answer wrongly, so the balancer
 * is told to wait.
 */
async function becomeReady(parts: Parts): Promise<void> {
	while (parts.configuration() === undefined) {
		await delay(readyPollMs, undefined, {ref: false});
	}

	await parts.endpointWatch.sweep();
	parts.state.ready = true;
}

async function stopParts(parts: Parts): Promise<void> {
	parts.state.ready = false;
	// The balancer takes a moment to see that this daemon is unready; what it
	// still sends meanwhile is served.
	await delay(parts.settings.drainMs);
	await parts.server.close();
	await parts.serviceProxy.drain();
	parts.endpointWatch.stop();
	parts.follower.stop();
	await parts.engines.close();
	await parts.engineProbe.close();
	await parts.platform.close();
}
