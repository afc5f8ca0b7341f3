/**
 * Summarises for the operator on which daemons a version is in force. A daemon
 * counts once its heartbeats confirm the version. A silent daemon counts as
 * stopped only after the time by which it has surely stopped accepting keys.
 */

/** The last known state of one listed daemon. */
export type DaemonConfirmation = {
	/** Name of its VM. */
	vm: string;
	/** Version that it last reported to be in force; 0 when it has reported none. */
	version: number;
	/** Milliseconds since its last heartbeat; `Infinity` when there was none. */
	silentMs: number;
};

/** The summary that the operator receives. */
export type InForceSummary = {
	version: number;
	/** Whether no daemon accepts keys by an older version any more. */
	complete: boolean;
	inForce: number;
	listed: number;
	/** VMs that accept keys by an older version, or may. */
	waitingFor: string[];
	/** VMs that have been silent for longer than they may go on serving. */
	stopped: string[];
	/** Such as `committed, in force on 8 of 9, waiting for vm-3`. */
	text: string;
};

/** Options of {@link summariseConfirmations}. */
export type ConfirmationOptions = {
	version: number;
	daemons: Iterable<DaemonConfirmation>;
	/** Milliseconds of silence after which a daemon accepts no keys: its isolation limit plus the propagation lag, see {@link silenceBoundMs}. */
	silentLimitMs: number;
};

/**
 * Milliseconds by which a partitioned daemon may stop later than its isolation
 * limit: a head that crossed before the partition is relayed behind it over up
 * to 14 hops of 1 s, a link may delay a message by up to 4.5 s, and a counter
 * from another data centre arrives up to 5 s after it was sent.
 */
const propagationLagMs = 20_000;

/** Returns the milliseconds of silence after which a daemon surely accepts no keys by an old version. */
export function silenceBoundMs(isolationLimitMs: number): number {
	return isolationLimitMs + propagationLagMs;
}

/** Summarises on which daemons a version is in force. */
export function summariseConfirmations(options: ConfirmationOptions): InForceSummary {
	const {version, silentLimitMs} = options;
	const waitingFor: string[] = [];
	const stopped: string[] = [];
	let inForce = 0;
	let listed = 0;
	for (const daemon of options.daemons) {
		listed++;
		if (daemon.version >= version) {
			inForce++;
		} else if (daemon.silentMs > silentLimitMs) {
			stopped.push(daemon.vm);
		} else {
			waitingFor.push(daemon.vm);
		}
	}

	// Silent daemons that form a majority among themselves go on serving, so a silent half can't be counted as stopped.
	if (stopped.length * 2 >= listed) {
		waitingFor.push(...stopped.splice(0));
	}

	const complete = waitingFor.length === 0;
	const parts = [`committed, in force on ${inForce} of ${listed}`];
	if (stopped.length > 0) {
		parts.push(`silent and not serving: ${stopped.join(', ')}`);
	}

	if (!complete) {
		parts.push(`waiting for ${waitingFor.join(', ')}`);
	}

	return {
		version, complete, inForce, listed, waitingFor, stopped, text: parts.join(', '),
	};
}
