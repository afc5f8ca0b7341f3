/**
 * What answers and failed connections prove about an endpoint that is still
 * listed: that its process has ended, that nothing listens there, or that it
 * takes no work just now. The list lags by seconds, and more when the store
 * loses its history; without this each request learns the same thing anew, and
 * one that may be sent only once is refused for it.
 *
 * Unlike ejection by health this is no statistic and has no largest share: a
 * process that has ended serves nobody, however many of them there are.
 */
import {type Log} from '../observability/log.js';
import {type LiveEndpoint} from './live-endpoint.js';

/** What is known beyond the list. */
export type EndpointPresence = {
	/** Another process answers at the endpoint's address, so its own has ended. */
	replaced: (endpoint: LiveEndpoint) => void;
	/** No connection came about. */
	unreached: (endpoint: LiveEndpoint) => void;
	/** It said that it takes no work now. */
	declined: (endpoint: LiveEndpoint) => void;
	/** It took a request. */
	accepted: (endpoint: LiveEndpoint) => void;
	/** The process has ended; only a later start under the same id can serve again. */
	hasEnded: (endpoint: LiveEndpoint) => boolean;
	/** Others are to be asked first for a moment. */
	isDoubtful: (endpoint: LiveEndpoint) => boolean;
	/** The endpoint is no longer listed. */
	forget: (id: string) => void;
	/** Ended processes that this daemon found within the last `mostMs`, for its peers. */
	endedLately: (mostMs: number) => Array<[id: string, startedAt: number]>;
};

/**
 * How long an endpoint that could not be reached, or declined, is asked last, in
 * milliseconds. A change of weights takes 400 ms and more and a restart a
 * second; a few requests in that time are enough to see the end of it.
 */
const doubtMs = 200;

/** Longest doubt, in milliseconds, after one failure behind another. */
const longestDoubtMs = 800;

type Doubt = {startedAt: number; until: number; lastsMs: number};

/** Opens the record; all listed endpoints are taken to be there. */
export function createEndpointPresence(log: Log): EndpointPresence {
	const ended = new Map<string, {startedAt: number; foundAt: number}>();
	const doubts = new Map<string, Doubt>();

	const doubt = ({id, startedAt}: LiveEndpoint): void => {
		const now = performance.now();
		const known = doubts.get(id);
		if (known?.startedAt === startedAt && now < known.until) {
			return;
		}

		const lastsMs = known?.startedAt === startedAt ? Math.min(longestDoubtMs, known.lastsMs * 2) : doubtMs;
		doubts.set(id, {startedAt, until: now + lastsMs, lastsMs});
	};

	return {
		replaced({id, service, startedAt}) {
			if (ended.get(id)?.startedAt === startedAt) {
				return;
			}

			ended.set(id, {startedAt, foundAt: performance.now()});
			log.info('Endpoint has ended: another process answers at its address.', {endpoint: id, service});
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
		endedLately(mostMs) {
			const lately: Array<[string, number]> = [];
			for (const [id, {startedAt, foundAt}] of ended) {
				if (performance.now() - foundAt <= mostMs) {
					lately.push([id, startedAt]);
				}
			}

			return lately;
		},
	};
}
