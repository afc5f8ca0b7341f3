/**
 * Reserves capacity for more urgent requests while a service is short of it: the fraction of an endpoint up to
 * which a request may fill it falls with its rank. Services whose requests all have one rank are not affected.
 */
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type Log} from '../observability/log.js';
import {type EndpointLoadTracker} from '../placing/endpoint-load-tracker.js';
import {type EstimateCorrection} from './estimate-correction.js';
import {ranksOf, type ServiceRanks} from './service-ranks.js';

/** Options of {@link createReservedCapacity}. */
export type ReservedCapacityOptions = {
	view: Pick<FleetView, 'current' | 'endpointsOf' | 'memoryTokens'>;
	loadTracker: Pick<EndpointLoadTracker, 'load' | 'msPerToken'>;
	correction: Pick<EstimateCorrection, 'ratio'>;
	log: Log;
};

/** The reserved capacity of all services. */
export type ReservedCapacity = {
	/** Whether requests of this rank may fill the endpoint further. */
	mayFill: (endpoint: LiveEndpoint, rank: number) => boolean;
	/** Ids of the endpoints of the service that requests of this rank may not fill further; `undefined` if these are all. */
	filledUnlessAll: (service: string, rank: number) => ReadonlySet<string> | undefined;
	/** Whether capacity of the service is reserved now. */
	isShort: (service: string) => boolean;
	/** Counts a request that is sent; the returned function ends it. */
	started: (service: string, rank: number) => () => void;
	/** Whether the rank has less than its minimum share of this daemon's requests. */
	isBelowShare: (service: string, rank: number) => boolean;
	/** Whether requests of another rank may be sent before those of this one. */
	isOvertaken: (service: string, rank: number) => boolean;
};

/** Pressure of one service; times from `performance.now()`. */
type Pressure = {isShort: boolean; since: number; measuredAt: number};

/** Requests of one daemon that are in flight, by rank. */
type InFlight = {total: number; byRank: Map<number, number>};

/** Mean fill of a service's endpoints at which capacity is reserved, and the lower one at which that ends. */
const shortRatio = 0.6;
const recoveredRatio = 0.4;

/** Fraction of an endpoint up to which the least urgent requests may fill it; the most urgent may fill all of it. */
const lowestFraction = 0.5;

/** Fraction of an endpoint up to which a rank below its minimum share may fill it: above 1, so that the most urgent requests leave that room to it. */
const minShareFraction = 1.15;

/** Fraction of a daemon's requests in flight that each rank may have, so that none starves. */
const minShareRatio = 0.05;

/** Time between two measurements of a service, for each of its endpoints, with a lower bound; a measurement reads the load of each. */
const measurePerEndpointMs = 0.2;
const minMeasureMs = 50;

/** Creates the reserved capacity of one daemon. */
export function createReservedCapacity({view, loadTracker, correction, log}: ReservedCapacityOptions): ReservedCapacity {
	const pressures = new Map<string, Pressure>();
	const inFlight = new Map<string, InFlight>();
	let ranksDocument: unknown;
	const ranksByService = new Map<string, ServiceRanks>();

	const ranksFor = (service: string): ServiceRanks => {
		const document = view.current()?.document;
		if (document !== ranksDocument) {
			ranksDocument = document;
			ranksByService.clear();
		}

		let ranks = ranksByService.get(service);
		if (ranks === undefined) {
			ranks = document === undefined ? {ranks: [], targetMs: Number.POSITIVE_INFINITY} : ranksOf(service, document);
			ranksByService.set(service, ranks);
		}

		return ranks;
	};

	const inFlightOf = (service: string): InFlight => {
		const known = inFlight.get(service) ?? {total: 0, byRank: new Map<number, number>()};
		inFlight.set(service, known);
		return known;
	};

	/** How full an endpoint is by its slots, its memory, and the time that its queue of prompts takes in relation to the shortest target time. */
	const fillOf = (endpoint: LiveEndpoint, targetMs: number): number => {
		const {running, memoryTokens, pendingTokens} = loadTracker.load(endpoint);
		return Math.max(
			running / endpoint.slots,
			memoryTokens / (view.memoryTokens(endpoint.id) ?? Number.POSITIVE_INFINITY),
			pendingTokens * loadTracker.msPerToken(endpoint.id) * correction.ratio(endpoint.service) / targetMs,
		);
	};

	const measure = (service: string, targetMs: number): number => {
		const endpoints = view.endpointsOf(service).filter(({isLeaving}) => !isLeaving);
		let sum = 0;
		for (const endpoint of endpoints) {
			sum += Math.min(1, fillOf(endpoint, targetMs));
		}

		return endpoints.length === 0 ? 0 : sum / endpoints.length;
	};

	const isShort = (service: string): boolean => {
		const {ranks, targetMs} = ranksFor(service);
		if (ranks.length < 2) {
			return false;
		}

		const now = performance.now();
		let pressure = pressures.get(service);
		if (pressure === undefined) {
			pressure = {isShort: false, since: now, measuredAt: Number.NEGATIVE_INFINITY};
			pressures.set(service, pressure);
		}

		if (now - pressure.measuredAt >= Math.max(minMeasureMs, view.endpointsOf(service).length * measurePerEndpointMs)) {
			pressure.measuredAt = now;
			const level = measure(service, targetMs);
			const isShortNow = level >= (pressure.isShort ? recoveredRatio : shortRatio);
			if (isShortNow !== pressure.isShort) {
				log.info(pressure.isShort ? 'Service has enough capacity again.' : 'Service is short of capacity; it is reserved by rank.', {
					service, level: Math.round(level * 100) / 100, ms: Math.round(now - pressure.since),
				});
				pressure.isShort = isShortNow;
				pressure.since = now;
			}
		}

		return pressure.isShort;
	};

	const isBelowShare = (service: string, rank: number): boolean => {
		const {total, byRank} = inFlightOf(service);
		return (byRank.get(rank) ?? 0) < Math.max(1, total * minShareRatio);
	};

	/** Fraction of an endpoint up to which requests of this rank may fill it. */
	const fractionFor = (service: string, rank: number): number => {
		const {ranks} = ranksFor(service);
		const level = ranks.filter(other => other < rank).length;
		return isBelowShare(service, rank) ? minShareFraction : 1 - ((1 - lowestFraction) * Math.min(1, level / (ranks.length - 1)));
	};

	const mayFill = (endpoint: LiveEndpoint, rank: number): boolean => {
		const {service} = endpoint;
		return !isShort(service) || fillOf(endpoint, ranksFor(service).targetMs) < fractionFor(service, rank);
	};

	return {
		mayFill,
		filledUnlessAll(service, rank) {
			const endpoints = view.endpointsOf(service);
			const filled = new Set(endpoints.filter(endpoint => !mayFill(endpoint, rank)).map(({id}) => id));
			return filled.size < endpoints.length ? filled : undefined;
		},
		isShort,
		started(service, rank) {
			const counts = inFlightOf(service);
			counts.total++;
			counts.byRank.set(rank, (counts.byRank.get(rank) ?? 0) + 1);
			return () => {
				counts.total--;
				counts.byRank.set(rank, counts.byRank.get(rank)! - 1);
			};
		},
		isBelowShare,
		isOvertaken: (service, rank) => ranksFor(service).ranks.some(other => other < rank),
	};
}
