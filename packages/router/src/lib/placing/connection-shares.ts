/**
 * Divides the connections that an endpoint accepts between the daemons, by the connections that each
 * uses. Endpoints reset connections above their limit, and requests on those may have run.
 *
 * Made for callers that are spread unevenly: with equal shares, a daemon that most callers of a data
 * centre connect to refuses them while endpoints are idle.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';

/** Connections to one endpoint, by endpoint id. */
export type ConnectionUse = ReadonlyArray<readonly [id: string, running: number, ...unknown[]]>;

/** Options of {@link createConnectionShares}. */
export type ConnectionSharesOptions = {
	/** Number of daemons, including this one. */
	daemons: () => number;
	/** Connections that the peers use at an endpoint, by their last reports. */
	peersRunning: (id: string) => number;
	/** Time in milliseconds in which reports reach all peers. */
	refreshMs: () => number;
	/** Connections that the endpoint accepts from all daemons together. */
	limitOf: (endpoint: LiveEndpoint) => number;
};

/** The shares of one daemon. */
export type ConnectionShares = {
	/** Fraction of the endpoint's connections that this daemon may use. */
	shareOf: (endpoint: LiveEndpoint) => number;
	/** Records what this daemon reports to its peers. */
	reported: (use: ConnectionUse) => void;
	forget: (id: string) => void;
};

/** Fraction of an endpoint's limit that the shares add up to; leaves headroom while daemons join and leave. */
const usedRatio = 0.9;

/** Fraction of the connections that is divided evenly, so that a daemon without connections can open some before its peers know. */
const evenRatio = 0.5;

/** What was reported until a time; the least of a refresh interval is known to all peers. */
type Reported = {running: number; until: number};

/** Creates the shares; equal until connections are reported. */
export function createConnectionShares({daemons, peersRunning, refreshMs, limitOf}: ConnectionSharesOptions): ConnectionShares {
	const reportsOf = new Map<string, Reported[]>();

	/** Connections of this daemon of which all peers know, so that no two daemons take the same unused ones. */
	const knownRunning = (id: string): number => {
		const reports = reportsOf.get(id);
		if (reports === undefined) {
			return 0;
		}

		const since = performance.now() - refreshMs();
		return Math.min(...reports.filter(({until}) => until >= since).map(({running}) => running));
	};

	return {
		shareOf(endpoint) {
			const connections = limitOf(endpoint) * usedRatio;
			if (connections === Number.POSITIVE_INFINITY) {
				return usedRatio / daemons();
			}

			const evenConnections = connections * evenRatio / daemons();
			const own = knownRunning(endpoint.id);
			return usedRatio * (own + evenConnections) / (own + peersRunning(endpoint.id) + (connections * evenRatio));
		},
		reported(use) {
			const now = performance.now();
			const since = now - refreshMs();
			const runningOf = new Map(use.map(([id, running]) => [id, running]));
			for (const id of new Set([...runningOf.keys(), ...reportsOf.keys()])) {
				const reports = reportsOf.get(id) ?? [{running: 0, until: now}];
				const last = reports.at(-1)!;
				const running = runningOf.get(id) ?? 0;
				last.until = now;
				const recent = reports.filter(({until}) => until >= since);
				if (running !== last.running) {
					recent.push({running, until: Number.POSITIVE_INFINITY});
				}

				if (recent.length === 1 && running === 0) {
					reportsOf.delete(id);
				} else {
					recent.at(-1)!.until = Number.POSITIVE_INFINITY;
					reportsOf.set(id, recent);
				}
			}
		},
		forget(id) {
			reportsOf.delete(id);
		},
	};
}
