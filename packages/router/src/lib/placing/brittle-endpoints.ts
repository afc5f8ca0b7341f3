/**
 * Protects endpoints that fall over when they turn away many requests in a second.
 *
 * While a service is brittle, each of its endpoints has a gatekeeper: the daemon that rendezvous
 * hashing selects. All requests for the endpoint go through it, so it knows how many are there and
 * declines those for which there is no room, before the endpoint has to turn them away.
 */
import {LRUCache} from 'lru-cache';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type Log} from '../observability/log.js';
import {type PeerReport} from '../peers/peer-report.js';

/** Options of {@link createBrittleEndpoints}. */
export type BrittleEndpointsOptions = {
	/** Called when peers should learn of a change at once. */
	onUpdate: () => void;
	/** Daemons that may take themselves for the same endpoint's gatekeeper, since they don't hear each other; 1 by default. */
	gatekeepers?: () => number;
	log: Log;
};

/** Brittle services and their endpoints. */
export type BrittleEndpoints = {
	/**
	 * Records how many requests an endpoint of the service says that it can turn away in a second;
	 * `undefined` if a signed answer states nothing.
	 */
	recordStatement: (endpoint: LiveEndpoint, perSecond: number | undefined) => void;
	/** Whether requests for the endpoints of a service go through gatekeepers. */
	isBrittle: (service: string) => boolean;
	/** Whether the endpoint has room for a request that this daemon sends to it. */
	hasRoom: (endpoint: LiveEndpoint) => boolean;
	/** Counts a request that this daemon sends to the endpoint; the returned function ends it. */
	started: (endpoint: LiveEndpoint) => () => void;
	/** The endpoint had no room for a request. */
	turnedAway: (endpoint: LiveEndpoint) => void;
	/** The endpoint's gatekeeper had no room for a request. */
	declined: (endpoint: LiveEndpoint) => void;
	/** Applies a peer's report. */
	applyPeerReport: (statements: PeerReport['brittle']) => void;
	/** For this daemon's report. */
	report: () => PeerReport['brittle'];
	/** Milliseconds until one of these endpoints may have room again; `undefined` unless all of them turned requests away. */
	waitMs: (endpoints: readonly LiveEndpoint[]) => number | undefined;
};

/** What the endpoints of a service said last; `perSecond` is `undefined` once they say nothing. */
type Statement = {perSecond: number | undefined; statedAt: number};

type Process = {startedAt: number; inFlight: number; pausedUntil: number};

/** Fraction of the bearable rejections that may occur. */
const usedRatio = 0.5;

/** Pause in milliseconds after a gatekeeper had no room; a lower bound of that after a rejection. */
const minPauseMs = 50;

/** Time without a statement after which a service no longer counts as brittle. */
const statementTtlMs = 30_000;

/** Time for which the end of brittleness is reported. */
const endedReportMs = 10_000;

/** Statements of the same moment, reported over different paths, differ by less. */
const sameMomentMs = 100;

const msPerSecond = 1000;
const maxProcesses = 16_384;
const maxReported = 24;

/** Services of which peers may tell. */
const maxServices = 1024;

/** Creates the record of one daemon. */
export function createBrittleEndpoints({onUpdate, gatekeepers = () => 1, log}: BrittleEndpointsOptions): BrittleEndpoints {
	const statements = new Map<string, Statement>();
	const processes = new LRUCache<string, Process>({max: maxProcesses});

	const bearableOf = (service: string): number | undefined => {
		const statement = statements.get(service);
		return statement !== undefined && performance.now() - statement.statedAt < statementTtlMs ? statement.perSecond : undefined;
	};

	const processOf = ({id, startedAt}: LiveEndpoint): Process => {
		const known = processes.get(id);
		if (known?.startedAt === startedAt) {
			return known;
		}

		const process = {startedAt, inFlight: 0, pausedUntil: Number.NEGATIVE_INFINITY};
		processes.set(id, process);
		return process;
	};

	/** Returns whether the statement changes anything. */
	const setStatement = (service: string, {perSecond, statedAt}: Statement): boolean => {
		const before = bearableOf(service);
		statements.set(service, {perSecond, statedAt});
		if (before === perSecond) {
			return false;
		}

		log.info(perSecond === undefined ? 'Endpoints of a service are no longer brittle.' : 'Endpoints of a service are brittle.', {service, level: perSecond});
		return true;
	};

	const pause = (endpoint: LiveEndpoint, durationMs: number): void => {
		const process = processOf(endpoint);
		process.pausedUntil = Math.max(process.pausedUntil, performance.now() + durationMs);
	};

	return {
		recordStatement({service}, perSecond) {
			if (perSecond === undefined && bearableOf(service) === undefined) {
				return;
			}

			if (setStatement(service, {perSecond, statedAt: performance.now()})) {
				onUpdate();
			}
		},
		isBrittle: service => bearableOf(service) !== undefined,
		hasRoom(endpoint) {
			if (bearableOf(endpoint.service) === undefined) {
				return true;
			}

			const {inFlight, pausedUntil} = processOf(endpoint);
			return inFlight < Math.max(1, Math.floor(endpoint.slots / gatekeepers())) && performance.now() >= pausedUntil;
		},
		started(endpoint) {
			const process = processOf(endpoint);
			process.inFlight++;
			return () => {
				process.inFlight--;
			};
		},
		turnedAway(endpoint) {
			const bearable = bearableOf(endpoint.service);
			if (bearable !== undefined) {
				pause(endpoint, Math.max(minPauseMs, msPerSecond * gatekeepers() / Math.max(1, bearable * usedRatio)));
			}
		},
		declined(endpoint) {
			pause(endpoint, minPauseMs);
		},
		applyPeerReport(reported) {
			const now = performance.now();
			for (const [service, perSecond, ageMs] of reported) {
				const statedAt = now - ageMs;
				const known = statements.get(service);
				const isAccepted = known === undefined ? statements.size < maxServices : statedAt > known.statedAt + sameMomentMs;
				if (isAccepted) {
					setStatement(service, {perSecond: perSecond ?? undefined, statedAt});
				}
			}
		},
		report() {
			const now = performance.now();
			const reported: PeerReport['brittle'] = [];
			for (const [service, {perSecond, statedAt}] of statements) {
				const ageMs = Math.round(now - statedAt);
				if (ageMs < (perSecond === undefined ? endedReportMs : statementTtlMs)) {
					reported.push([service, perSecond ?? null, ageMs]);
				}
			}

			return reported.slice(0, maxReported);
		},
		waitMs(endpoints) {
			const now = performance.now();
			let leastMs = Number.POSITIVE_INFINITY;
			for (const endpoint of endpoints) {
				const leftMs = bearableOf(endpoint.service) === undefined ? 0 : processOf(endpoint).pausedUntil - now;
				if (leftMs <= 0) {
					return undefined;
				}

				leastMs = Math.min(leastMs, leftMs);
			}

			return Number.isFinite(leastMs) ? leastMs : undefined;
		},
	};
}
