/**
 * Enforces the rate limits that endpoints report, in requests per second from all daemons
 * together. Rendezvous hashing selects the daemons that may send to a limited endpoint, few
 * enough that each gets a usable share. The total stays within the limit without coordination
 * of single requests.
 */
import {LRUCache} from 'lru-cache';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type Log} from '../observability/log.js';
import {type PeerReport} from '../peers/peer-report.js';
import {orderedBy} from '../routing/rendezvous.js';

/** Options of {@link createEndpointLimits}. */
export type EndpointLimitsOptions = {
	name: string;
	/** Names of the live peers. */
	peers: () => readonly string[];
	/** Whether the endpoint is listed with this process start time. */
	isListed: (id: string, startedAt: number) => boolean;
	/** Called when a limit changes enough to notify peers at once. */
	onUpdate: () => void;
	log: Log;
};

/** Limits of all endpoints; rates are in requests per second. */
export type EndpointLimits = {
	/** Records the limit that an answer of the endpoint reported; `undefined` if a signed answer reported none. */
	recordLimit: (endpoint: LiveEndpoint, perSecond: number | undefined) => void;
	/** Applies the limits in a peer's report. */
	applyPeerReport: (news: PeerReport['limits']) => void;
	/** Known limits for this daemon's report, latest first. */
	report: () => PeerReport['limits'];
	/** Whether this daemon may send a request there now. */
	canSend: (endpoint: LiveEndpoint) => boolean;
	/** Counts a request that is sent to the endpoint. */
	recordSent: (endpoint: LiveEndpoint) => void;
	/** Estimated milliseconds until one of these endpoints accepts another request; `undefined` if any has no limit. */
	waitMs: (endpoints: readonly LiveEndpoint[]) => number | undefined;
	/** Milliseconds until this daemon may send a request there, infinite if other daemons do, and requests per millisecond from then on; 0 without a limit. */
	ownWaitMs: (endpoint: LiveEndpoint) => {ms: number; perMs: number};
	/** Removes an endpoint that is no longer listed. */
	forget: (id: string) => void;
};

type Limit = {
	startedAt: number;
	/** `undefined` once the limit has ended. */
	perSecond: number | undefined;
	/** When an answer reported it. */
	namedAt: number;
	/** Token bucket: requests that this daemon may send now. */
	tokens: number;
	refilledAt: number;
	/** Index of this daemon in the rendezvous order, and the number of daemons. */
	position: {index: number; daemons: number; validUntil: number};
};

/** A limit that has not ended. */
type ActiveLimit = Limit & {perSecond: number};

/** Fraction of a limit that is used. Two daemons may use the same share while the fleet changes. */
const usedRatio = 0.8;

/** Minimum share of a limit per sending daemon, in requests per second. */
const minSharePerSecond = 1;

/** Lower bound of the rate, so that occasional requests detect the end of a limit. */
const minPerSecond = 0.25;

/** Maximum burst: the share of this time, but at least one request. */
const burstMs = 1000;

/** Time for which a daemon's position in the order is cached. */
const positionTtlMs = 500;

/**
 * Minimum time without an answer from a limited endpoint after which its senders are presumed idle,
 * and the next daemons in the order replace them.
 */
const minIdleMs = 10_000;
/** The same, in requests that a sender could have sent. */
const minIdleRequests = 3;

/** Ages of the same answer, reported over different paths, differ by less. */
const sameAnswerMs = 100;

/** Relative change of a limit of which peers are notified at once. */
const significantChangeRatio = 0.25;

/** Time for which the end of a limit is reported. */
const endedReportMs = 30_000;

const maxLimits = 1024;
const maxReported = 24;
const msPerSecond = 1000;

const unknownPosition: Limit['position'] = {index: 0, daemons: 1, validUntil: Number.NEGATIVE_INFINITY};

/** Requests per second that all daemons together send to an endpoint with this limit. */
const usableRateOf = ({perSecond}: ActiveLimit): number => Math.max(minPerSecond, perSecond * usedRatio);

/** Creates the limits of one daemon; none are known yet. */
export function createEndpointLimits(options: EndpointLimitsOptions): EndpointLimits {
	const {name, log} = options;
	const limits = new LRUCache<string, Limit>({max: maxLimits});

	const isSignificant = (before: number | undefined, after: number | undefined): boolean =>
		before === undefined || after === undefined
			? before !== after
			: Math.abs(after - before) > before * significantChangeRatio;

	/** Sets the limit reported by an answer; returns whether the change is significant. */
	const setLimit = (id: string, startedAt: number, {perSecond, namedAt}: Pick<Limit, 'perSecond' | 'namedAt'>): boolean => {
		const known = limits.get(id);
		const former = known?.startedAt === startedAt ? known : undefined;
		limits.set(id, {
			tokens: 0, refilledAt: performance.now(), position: unknownPosition, ...former, startedAt, perSecond, namedAt,
		});
		if (!isSignificant(former?.perSecond, perSecond)) {
			return false;
		}

		log.info(perSecond === undefined ? 'Endpoint\'s rate limit ended.' : 'Endpoint reported a rate limit.', {
			endpoint: id, level: perSecond, ms: Math.round(performance.now() - namedAt),
		});
		return true;
	};

	/** The current limit of this process of an endpoint, if any. */
	const activeLimit = ({id, startedAt}: Pick<LiveEndpoint, 'id' | 'startedAt'>): ActiveLimit | undefined => {
		const limit = limits.get(id);
		return limit?.startedAt === startedAt && limit.perSecond !== undefined ? limit as ActiveLimit : undefined;
	};

	const positionOf = (id: string, limit: Limit, now: number): Limit['position'] => {
		if (now >= limit.position.validUntil) {
			const order = orderedBy(`limit ${id}`, [...options.peers(), name]);
			limit.position = {index: order.indexOf(name), daemons: order.length, validUntil: now + positionTtlMs};
		}

		return limit.position;
	};

	/** Requests per second that this daemon may send to the endpoint; 0 if it isn't among the senders. */
	const shareOf = (id: string, limit: ActiveLimit, now: number): number => {
		const {index, daemons} = positionOf(id, limit, now);
		const senders = Math.min(daemons, Math.max(1, Math.floor(limit.perSecond / minSharePerSecond)));
		const share = usableRateOf(limit) / senders;
		const idleMs = Math.max(minIdleMs, minIdleRequests * msPerSecond / share);
		const skipped = Math.floor((now - limit.namedAt) / idleMs) * senders;
		return (index + daemons - (skipped % daemons)) % daemons < senders ? share : 0;
	};

	/** Refills the token bucket; returns the number of requests that this daemon may send now. */
	const refill = (id: string, limit: ActiveLimit): number => {
		const now = performance.now();
		const share = shareOf(id, limit, now);
		const most = Math.max(1, share * burstMs / msPerSecond);
		limit.tokens = Math.min(most, limit.tokens + (share * (now - limit.refilledAt) / msPerSecond));
		limit.refilledAt = now;
		return share === 0 ? 0 : limit.tokens;
	};

	return {
		recordLimit({id, startedAt}, perSecond) {
			const known = limits.get(id);
			const shouldRecord = perSecond !== undefined || (known?.startedAt === startedAt && known.perSecond !== undefined);
			if (shouldRecord && setLimit(id, startedAt, {perSecond, namedAt: performance.now()})) {
				options.onUpdate();
			}
		},
		applyPeerReport(news) {
			for (const [id, startedAt, perSecond, ageMs] of news) {
				const namedAt = performance.now() - ageMs;
				const known = limits.get(id);
				const isOlder = known?.startedAt === startedAt && namedAt <= known.namedAt + sameAnswerMs;
				if (!isOlder && options.isListed(id, startedAt)) {
					setLimit(id, startedAt, {perSecond: perSecond ?? undefined, namedAt});
				}
			}
		},
		report() {
			const now = performance.now();
			const news: PeerReport['limits'] = [];
			for (const [id, {startedAt, perSecond, namedAt}] of limits.entries()) {
				const isCurrent = perSecond !== undefined || now - namedAt <= endedReportMs;
				if (isCurrent && options.isListed(id, startedAt)) {
					news.push([id, startedAt, perSecond ?? null, Math.round(now - namedAt)]);
				}
			}

			return news.toSorted((a, b) => a[3] - b[3]).slice(0, maxReported);
		},
		canSend(endpoint) {
			const limit = activeLimit(endpoint);
			return limit === undefined || refill(endpoint.id, limit) >= 1;
		},
		recordSent(endpoint) {
			const limit = activeLimit(endpoint);
			if (limit !== undefined) {
				limit.tokens--;
			}
		},
		waitMs(endpoints) {
			let perSecond = 0;
			for (const endpoint of endpoints) {
				const limit = activeLimit(endpoint);
				if (limit === undefined) {
					return undefined;
				}

				perSecond += usableRateOf(limit);
			}

			return perSecond === 0 ? undefined : msPerSecond / perSecond;
		},
		ownWaitMs(endpoint) {
			const limit = activeLimit(endpoint);
			if (limit === undefined) {
				return {ms: 0, perMs: 0};
			}

			const missing = Math.max(0, 1 - refill(endpoint.id, limit));
			const perMs = shareOf(endpoint.id, limit, performance.now()) / msPerSecond;
			return {ms: missing === 0 ? 0 : missing / perMs, perMs};
		},
		forget(id) {
			limits.delete(id);
		},
	};
}
