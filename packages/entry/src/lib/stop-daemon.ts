/** Stops the entry daemon within the platform's stop timeout. */
import {setTimeout as pause} from 'node:timers/promises';
import {type LeaseHolder} from 'hickorywalk/leases.js';
import {type EntryParts} from './wiring/parts.js';

/** Parts of the time that is reserved for the last steps of a stop: for leaving the fleet, and for the delivery of responses that are cut. */
const leaveRatio = 1 / 3;
const flushRatio = 1 / 3;

/** Requests cut by a stop that are logged one by one. */
const maxCutLines = 100;

/** Stops without aborting requests in flight; resolves when they have ended, or when the stop timeout is near. */
export async function stopDaemon(parts: EntryParts): Promise<void> {
	const startedAt = performance.now();
	const {
		settings, timings, state, log, server,
	} = parts;
	const {balancerDelayMs, stopReserveMs} = timings;
	/** Waits for steps for so long at most; one that fails must not keep the others from responses under way. */
	const within = async (limitMs: number, steps: Array<Promise<unknown>>): Promise<void> => {
		for (const result of await Promise.race([Promise.allSettled(steps), pause(Math.max(0, limitMs), [])])) {
			if (result.status === 'rejected') {
				log.warn('Step of the stop failed.', {err: result.reason});
			}
		}
	};

	state.isStopping = true;
	state.servesUntil = startedAt + settings.stopMs - stopReserveMs;
	parts.admission.wakeAll();
	log.info('Daemon stops.', {count: parts.forwarder.inFlight() + parts.relayServer.inFlight()});
	parts.rolloutTimer.close();
	parts.refusalRows.close();
	parts.softwareRecord.close();
	parts.streamRows.close();
	parts.fleetKey.close();
	// Not awaited yet, since a slow store must not delay the other steps.
	const released = within(settings.stopMs, [releaseLeases(parts.leases)]);
	await pause(balancerDelayMs);
	state.isClosed = true;
	const closed = [server.close(), parts.relayServer.close()];
	await within(state.servesUntil - performance.now(), closed);
	await within(stopReserveMs * leaveRatio, [released, parts.peers.leave(), parts.directory.leave(), parts.retryPart.leave()]);
	const cut = parts.forwarder.endCalls();
	for (const {requestId, service, ms} of cut.slice(0, maxCutLines)) {
		log.warn('Request was cut at the end of the stop timeout.', {requestId, service, ms});
	}

	const flushMs = stopReserveMs * flushRatio;
	const [brokenOff] = await Promise.all([parts.forwarder.openReplies.breakOff(flushMs), within(flushMs, closed)]);
	if (brokenOff > 0) {
		log.warn('Responses without length were broken off at the end of the stop timeout.', {count: brokenOff});
	}

	log.info('Daemon has stopped.', {
		ms: Math.round(performance.now() - startedAt), count: parts.forwarder.inFlight(), refused: parts.forwarder.refusedForStop(), cut: cut.length,
	});
}

async function releaseLeases(leases: LeaseHolder): Promise<void> {
	await leases.release();
	leases.close();
}
