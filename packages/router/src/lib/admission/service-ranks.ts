/** Ranks that the requests of a service may have, by the document. */
import {type FleetDocument} from '../fleet/fleet-document.js';

/** Ranks of a service. */
export type ServiceRanks = {
	/** Ascending; the first is the most urgent. */
	ranks: readonly number[];
	/** Shortest target time of the service's routes, in milliseconds. */
	targetMs: number;
};

/** Ranks of one service. Workspaces may have ranks of their own, with which they call any route. */
export function ranksOf(service: string, {routes, workspaces}: FleetDocument): ServiceRanks {
	const ranks = new Set<number>();
	const usesRouteRank = workspaces.length === 0 || workspaces.some(({rank}) => rank === undefined);
	let targetMs = Number.POSITIVE_INFINITY;
	for (const route of routes) {
		if (!route.targets.some(target => target.service === service)) {
			continue;
		}

		targetMs = Math.min(targetMs, route.targetMs);
		if (usesRouteRank || route.isPublic) {
			ranks.add(route.rank);
		}

		if (!route.isPublic) {
			for (const {rank} of workspaces) {
				if (rank !== undefined) {
					ranks.add(rank);
				}
			}
		}
	}

	return {ranks: [...ranks].toSorted((a, b) => a - b), targetMs};
}
