/**
 * Distinguishes crashes of endpoints from mere connection failures: a process that has ended
 * refuses connections, or another one has replaced it in the list or at its address.
 */
import {LRUCache} from 'lru-cache';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type ObservedCrash, type Suspect} from './crash-evidence.js';

/** State of an endpoint's process apart from its connections; `leaving` if its end was announced. */
export type ProcessState = 'listed' | 'leaving' | 'ended';

/** Options of {@link createCrashWatch}. */
export type CrashWatchOptions = {
	/** Whether the endpoint refuses connections because its process has ended; also false if that can't be determined. */
	hasCrashed: (endpoint: LiveEndpoint) => Promise<boolean>;
	stateOf: (endpoint: LiveEndpoint) => ProcessState;
	onCrash: (crash: ObservedCrash) => void;
};

/** Detects crashes of endpoints. */
export type CrashWatch = {
	/** Records that the connection which carried a request broke. */
	reportBrokenConnection: (endpoint: LiveEndpoint, suspect: Suspect) => void;
};

/** Time within which all connections of an ended process break. */
const groupingMs = 10;

/** Delays between checks whether a process that still accepts connections has ended. */
const recheckDelaysMs = [100, 400, 1000, 3000];

/** Number of stored crashes, for connections that are found broken later. */
const maxCrashes = 64;

type BrokenConnections = {endpoint: LiveEndpoint; at: number; suspects: Suspect[]};

const keyOf = ({id, startedAt}: LiveEndpoint): string => `${id} ${startedAt}`;

/** Creates a crash watch. */
export function createCrashWatch({hasCrashed, stateOf, onCrash}: CrashWatchOptions): CrashWatch {
	const pending = new Map<string, BrokenConnections>();
	const crashed = new LRUCache<string, true>({max: maxCrashes});

	const report = ({endpoint, at, suspects}: BrokenConnections): void => {
		crashed.set(keyOf(endpoint), true);
		onCrash({
			endpoint: endpoint.id, startedAt: endpoint.startedAt, ageMs: performance.now() - at, suspects,
		});
	};

	const scheduleRecheck = (broken: BrokenConnections, recheck: number): void => {
		if (recheck === recheckDelaysMs.length) {
			return;
		}

		setTimeout(() => {
			const state = stateOf(broken.endpoint);
			if (state === 'ended') {
				report(broken);
			} else if (state === 'listed') {
				scheduleRecheck(broken, recheck + 1);
			}
		}, recheckDelaysMs[recheck]).unref();
	};

	const checkProcess = async (broken: BrokenConnections): Promise<void> => {
		const {endpoint} = broken;
		pending.delete(keyOf(endpoint));
		if (crashed.has(keyOf(endpoint)) || stateOf(endpoint) === 'ended' || await hasCrashed(endpoint)) {
			report(broken);
		} else {
			scheduleRecheck(broken, 0);
		}
	};

	return {
		reportBrokenConnection(endpoint, suspect) {
			const key = keyOf(endpoint);
			if (!crashed.has(key) && stateOf(endpoint) !== 'listed') {
				return;
			}

			const known = pending.get(key);
			if (known !== undefined) {
				known.suspects.push(suspect);
				return;
			}

			const broken: BrokenConnections = {endpoint, at: performance.now(), suspects: [suspect]};
			pending.set(key, broken);
			setTimeout(() => {
				void checkProcess(broken);
			}, groupingMs);
		},
	};
}
