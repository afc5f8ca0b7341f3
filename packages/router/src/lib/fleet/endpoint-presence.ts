/**
 * Evidence from responses and failed connections about endpoints that are still listed.
 * Unlike outlier ejection it has no maximum ratio, since an ended process can't serve any request.
 */
import {type Log} from '../observability/log.js';
import {type LiveEndpoint} from './live-endpoint.js';

/** Evidence beyond the endpoint list. */
export type EndpointPresence = {
	/** Another process responded at the endpoint's address, so the endpoint's process has ended. */
	replaced: (endpoint: LiveEndpoint) => void;
	/** The connection failed. */
	unreached: (endpoint: LiveEndpoint) => void;
	/** The endpoint temporarily refused requests. */
	declined: (endpoint: LiveEndpoint) => void;
	/** The endpoint served a request. */
	accepted: (endpoint: LiveEndpoint) => void;
	/** The process has ended; only a later start under the same id can serve again. */
	hasEnded: (endpoint: LiveEndpoint) => boolean;
	/** The endpoint should be tried last for now. */
	isDoubtful: (endpoint: LiveEndpoint) => boolean;
	/** The endpoint is no longer listed. */
	forget: (id: string) => void;
	/** Endpoints that this daemon found to have ended within the last `maxAgeMs`. */
	recentlyEnded: (maxAgeMs: number) => Array<[id: string, startedAt: number]>;
};

/** Time in milliseconds for which an endpoint is tried last after a failure; doubles with each further one. */
const doubtMs = 200;

const maxDoubtMs = 800;

type Doubt = {startedAt: number; until: number; durationMs: number};

/** Creates the record; all listed endpoints are presumed present. */
export function createEndpointPresence(log: Log): EndpointPresence {
	const ended = new Map<string, {startedAt: number; foundAt: number}>();
	const doubts = new Map<string, Doubt>();

	const doubt = ({id, startedAt}: LiveEndpoint): void => {
		const now = performance.now();
		const known = doubts.get(id);
		if (known?.startedAt === startedAt && now < known.until) {
			return;
		}

		const durationMs = known?.startedAt === startedAt ? Math.min(maxDoubtMs, known.durationMs * 2) : doubtMs;
		doubts.set(id, {startedAt, until: now + durationMs, durationMs});
	};

	return {
		replaced({id, service, startedAt}) {
			if (ended.get(id)?.startedAt === startedAt) {
				return;
			}

			ended.set(id, {startedAt, foundAt: performance.now()});
			log.info('Endpoint has ended: another process responds at its address.', {endpoint: id, service});
		},
		unreached: doubt,
		declined: doubt,
		accepted({id}) {
			doubts.delete(id);
		},
		hasEnded: ({id, startedAt}) => ended.get(id)?.startedAt === startedAt,
		isDoubtful({id, startedAt}) {
			const known = doubts.get(id);
			return known?.startedAt === startedAt && performance.now() < known.until;
		},
		forget(id) {
			ended.delete(id);
			doubts.delete(id);
		},
		recentlyEnded(maxAgeMs) {
			const recent: Array<[string, number]> = [];
			for (const [id, {startedAt, foundAt}] of ended) {
				if (performance.now() - foundAt <= maxAgeMs) {
					recent.push([id, startedAt]);
				}
			}

			return recent;
		},
	};
}
