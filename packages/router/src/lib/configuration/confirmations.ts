/**
 * Where a version is in force, for the operator's answer. A daemon counts once
 * it has confirmed the version in its heartbeats. One that stays silent counts
 * as stopped only after the bound by which it has stopped serving keys.
 */

/** What is known of one listed daemon. */
export type DaemonConfirmation = {
	/** Name of its VM. */
	vm: string;
	/** Version that it last said it has in force; 0 when it said nothing. */
	version: number;
	/** Milliseconds since it was last heard of; `Infinity` when never. */
	silentMs: number;
};

/** The operator's answer. */
export type InForceSummary = {
	version: number;
	/** Whether no daemon serves by an older version any more. */
	complete: boolean;
	inForce: number;
	listed: number;
	/** VMs that serve by an older version, or may. */
	waitingFor: string[];
	/** VMs that are silent for longer than they may serve. */
	stopped: string[];
	/** Such as `committed, in force on 8 of 9, waiting for vm-3`. */
	text: string;
};

/** Options of {@link summariseConfirmations}. */
export type ConfirmationOptions = {
	version: number;
	daemons: Iterable<DaemonConfirmation>;
	/** Milliseconds of silence after which a daemon serves no keys: its isolation limit and the lag of what it heard, see {@link silenceBoundMs}. */
	silentLimitMs: number;
};

/**
 * Milliseconds by which a daemon that was cut off may stop later than its
 * isolation limit: news that had crossed before the cut is passed on behind it
 * for up to 14 hops of a second, a link may hold a message for up to 4.5 s, and
 * a counter from another data centre is heard up to 5 s after it was sent.
 */
const knowledgeLagMs = 20_000;

/** The silence after which a daemon surely serves no keys by an old version. */
export function silenceBoundMs(isolationLimitMs: number): number {
	return isolationLimitMs + knowledgeLagMs;
}

/** Tells where a version is in force. */
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

	// Silent daemons that hear a majority among themselves serve on, so that a silent half proves nothing.
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
