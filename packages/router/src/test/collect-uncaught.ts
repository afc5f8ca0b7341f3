import process from 'node:process';
import {setImmediate} from 'node:timers/promises';

const kinds = ['uncaughtException', 'unhandledRejection'];

/** Collects uncaught errors in place of the test runner until it is restored. */
export function collectUncaught(): {errors: unknown[]; restore: () => Promise<void>} {
	const errors: unknown[] = [];
	const collect = (error: unknown): void => {
		errors.push(error);
	};

	const listeners = new Map(kinds.map(kind => [kind, process.listeners(kind as NodeJS.Signals)]));
	for (const kind of kinds) {
		process.removeAllListeners(kind);
		process.on(kind, collect);
	}

	return {
		errors,
		/** Waits until the errors of the current turn have been raised. */
		async restore() {
			await setImmediate();
			for (const kind of kinds) {
				process.removeListener(kind, collect);
				for (const listener of listeners.get(kind)!) {
					process.on(kind, listener);
				}
			}
		},
	};
}
