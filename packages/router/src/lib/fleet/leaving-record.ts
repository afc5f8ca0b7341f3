/**
 * Endpoint processes that are known to be leaving. A process never takes this back, so neither
 * an outdated row nor a removal and renewed listing of its row clears the record; only a later
 * process under the same id is unaffected. An earlier one has ended.
 */
import {LRUCache} from 'lru-cache';
import {type LiveEndpoint} from './live-endpoint.js';

/** Identifies a process of an endpoint. */
export type EndpointProcess = Pick<LiveEndpoint, 'id' | 'startedAt'>;

/** The record. */
export type LeavingRecord = {
	/** Records that a process is leaving; returns false if that was known, or if a later process is. */
	add: (process: EndpointProcess) => boolean;
	/** Whether the process is leaving, or a later one under its id is. */
	has: (process: EndpointProcess) => boolean;
	/** Forgets a process under this id that started after `process`, because it never existed. */
	removeLater: (process: EndpointProcess) => void;
};

/** Exceeds the endpoints of a large fleet, all of which may be replaced by a release. */
const maxProcesses = 16_384;

/** Creates an empty record. */
export function createLeavingRecord(): LeavingRecord {
	const startOf = new LRUCache<string, number>({max: maxProcesses});

	const has = ({id, startedAt}: EndpointProcess): boolean => startedAt <= (startOf.peek(id) ?? Number.NEGATIVE_INFINITY);

	return {
		add(process) {
			if (has(process)) {
				return false;
			}

			startOf.set(process.id, process.startedAt);
			return true;
		},
		has,
		removeLater({id, startedAt}) {
			if ((startOf.peek(id) ?? Number.NEGATIVE_INFINITY) > startedAt) {
				startOf.delete(id);
			}
		},
	};
}
