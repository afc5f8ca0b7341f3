/** One daemon: starts its parts in order, and stops without cutting a request. */
import {setTimeout as delay} from 'node:timers/promises';
import {createParts} from './container.js';
import {type Settings} from './settings.js';

/** A running daemon. */
export type Daemon = {
	/** Base URL for callers. */
	callersUrl: string;
	/** Unready first, then every request under way ends, then the parts stop. */
	stop: () => Promise<void>;
};

/** Starts a daemon. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
	const {cradle: parts} = await createParts(settings);
	await parts.follower.poll();
	const callersUrl = await parts.server.listen(settings.callers);
	parts.state.ready = true;
	parts.log.info(`Serving callers at ${callersUrl}.`);
	return {
		callersUrl,
		async stop() {
			parts.state.ready = false;
			// The balancer takes a moment to see that this daemon is unready.
			await delay(settings.drainMs);
			await parts.server.close();
			parts.follower.close();
			await parts.engines.close();
			await parts.platform.close();
		},
	};
}
