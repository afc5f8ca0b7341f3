/** Timers of the wait queues, one per workspace, each set to the next time at which its queue changes. */
import {type HeldShare} from './held-share.js';
import {nextQueueEvent} from './wait-queue.js';

/** Options of {@link createQueueTimers}. */
export type QueueTimersOptions = {
	/** Runs the callback of a timer. */
	run: (callback: () => void) => void;
	/** Called when the queue of this share must be processed. */
	onDue: (share: HeldShare) => void;
};

/** Timers of the queues of all shares. */
export type QueueTimers = {
	/** Sets the timer of a share; a timer that is already set to the right time stays. */
	arm: (share: HeldShare, now: number) => void;
	clear: () => void;
};

/** Creates the timers; none is set at first. */
export function createQueueTimers({run, onDue}: QueueTimersOptions): QueueTimers {
	const timers = new Map<string, {timer: NodeJS.Timeout; at: number}>();

	return {
		arm(share, now) {
			const at = nextQueueEvent(share, now);
			const armed = timers.get(share.workspace);
			if (armed?.at === at) {
				return;
			}

			if (armed) {
				clearTimeout(armed.timer);
				timers.delete(share.workspace);
			}

			if (Number.isFinite(at)) {
				const timer = setTimeout(() => {
					timers.delete(share.workspace);
					run(() => {
						onDue(share);
					});
				}, Math.max(1, Math.ceil(at - now)));
				timers.set(share.workspace, {timer, at});
			}
		},
		clear() {
			for (const {timer} of timers.values()) {
				clearTimeout(timer);
			}

			timers.clear();
		},
	};
}
