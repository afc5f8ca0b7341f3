/** One timer for each waiting line, set to the next moment at which it changes by itself. */
import {type HeldShare} from './held-share.js';
import {nextLineEvent} from './waiting-line.js';

/** Options of {@link createLineTimers}. */
export type LineTimersOptions = {
	/** Runs what a timer called for. */
	run: (callback: () => void) => void;
	/** The line of this share is due. */
	onDue: (share: HeldShare) => void;
};

/** The timers. */
export type LineTimers = {
	/** Sets the timer of a share anew; one that stands right is left. */
	arm: (share: HeldShare, now: number) => void;
	clear: () => void;
};

/** Creates timers; none runs yet. */
export function createLineTimers({run, onDue}: LineTimersOptions): LineTimers {
	const timers = new Map<string, {timer: NodeJS.Timeout; at: number}>();

	return {
		arm(share, now) {
			const at = nextLineEvent(share, now);
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
