/**
 * Runs the merger now and then, on the daemon that a span falls to. Without an
 * owner every daemon would read every object: 650 times the reads that the
 * store has to give.
 */
import {createHash} from 'node:crypto';
import {createSilentLog, type Log} from '../log.js';
import {createServiceLevelMerger, mergeEveryMs, type ServiceLevelMergerOptions} from './merger.js';
import {type Level} from './object-names.js';

export type ServiceLevelUpkeepOptions = Omit<ServiceLevelMergerOptions, 'isMine'> & {
	/** Name of this daemon. */
	daemon: string;
	/** Names of the daemons that are thought to run, this one among them or not. */
	liveDaemons: () => readonly string[];
	/** Milliseconds between two runs; half a span by default. */
	everyMs?: number;
	/** From 0 to below 1; spreads daemons that started together. */
	random?: () => number;
	log?: Log;
};

export type ServiceLevelUpkeep = {
	start: () => void;
	/** Resolves when a run that is under way has ended. */
	stop: () => Promise<void>;
};

/**
 * Creates the upkeep of one daemon.
 *
 * @example
 * const upkeep = createServiceLevelUpkeep({daemon: 'hw-1', liveDaemons, objects: platform.objects});
 * upkeep.start();
 */
export function createServiceLevelUpkeep(options: ServiceLevelUpkeepOptions): ServiceLevelUpkeep {
	const {daemon, liveDaemons, everyMs = mergeEveryMs, random = Math.random, log = createSilentLog()} = options;
	const merger = createServiceLevelMerger({...options, isMine: (level, start) => ownerOfSpan(level, start, [...liveDaemons(), daemon]) === daemon});
	let timer: NodeJS.Timeout | undefined;
	let running: Promise<void> = Promise.resolve();

	const run = async (): Promise<void> => {
		try {
			await merger.run();
		} catch (error) {
			log.warn('Merging service levels waits for the object store.', {err: error});
		}

		if (timer !== undefined) {
			schedule(everyMs);
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
			schedule(everyMs * random());
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
 * views may name two: of their merges one is written (see the merger).
 */
export function ownerOfSpan(level: Level, start: number, daemons: readonly string[]): string | undefined {
	let owner: string | undefined;
	let best = '';
	for (const daemon of daemons) {
		const rank = createHash('sha256').update(`${level}/${start}/${daemon}`).digest('hex');
		if (rank > best) {
			best = rank;
			owner = daemon;
		}
	}

	return owner;
}
