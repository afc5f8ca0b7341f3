/**
 * Runs the merger periodically. Each span is merged by one owner among the daemons;
 * otherwise every daemon would read every object, which is 650 times the reads that
 * the store can serve.
 */
import {createHash} from 'node:crypto';
import {createSilentLog, type Log} from '../log.js';
import {createServiceLevelMerger, mergeEveryMs, type ServiceLevelMergerOptions} from './merger.js';
import {type Level} from './object-names.js';

export type ServiceLevelUpkeepOptions = Omit<ServiceLevelMergerOptions, 'isMine'> & {
	/** Name of this daemon. */
	daemon: string;
	/** Names of the daemons that are believed to be live; may omit this one. */
	liveDaemons: () => readonly string[];
	/** Milliseconds between two runs; half a slot by default. */
	runEveryMs?: number;
	/** Random number from 0 to below 1; spreads the runs of daemons that start together. */
	random?: () => number;
	log?: Log;
};

export type ServiceLevelUpkeep = {
	start: () => void;
	/** Resolves when the current run has ended. */
	stop: () => Promise<void>;
};

/**
 * Creates the periodic merging of one daemon.
 *
 * @example
 * const upkeep = createServiceLevelUpkeep({daemon: 'hw-1', liveDaemons, objects: platform.objects});
 * upkeep.start();
 */
export function createServiceLevelUpkeep(options: ServiceLevelUpkeepOptions): ServiceLevelUpkeep {
	const {daemon, liveDaemons, runEveryMs = mergeEveryMs, random = Math.random, log = createSilentLog()} = options;
	const merger = createServiceLevelMerger({...options, isMine: (level, start) => ownerOfSpan(level, start, [...liveDaemons(), daemon]) === daemon});
	let timer: NodeJS.Timeout | undefined;
	let running: Promise<void> = Promise.resolve();

	const run = async (): Promise<void> => {
		try {
			await merger.run();
		} catch (error) {
			log.warn('Service levels could not be merged; the merge is retried.', {err: error});
		}

		if (timer !== undefined) {
			schedule(runEveryMs);
		}
	};

	const schedule = (ms: number): void => {
		timer = setTimeout(() => {
			running = run();
		}, ms);
		timer.unref();
	};

	return {
		start() {
			schedule(runEveryMs * random());
		},
		async stop() {
			clearTimeout(timer);
			timer = undefined;
			await running;
		},
	};
}

/**
 * The daemon that merges a span, by rendezvous hashing. Daemons with different
 * member lists may choose different owners; only one of their merges is written
 * (see the merger).
 */
export function ownerOfSpan(level: Level, start: number, daemons: readonly string[]): string | undefined {
	let owner: string | undefined;
	let highestHash = '';
	for (const daemon of daemons) {
		const hash = createHash('sha256').update(`${level}/${start}/${daemon}`).digest('hex');
		if (hash > highestHash) {
			highestHash = hash;
			owner = daemon;
		}
	}

	return owner;
}
