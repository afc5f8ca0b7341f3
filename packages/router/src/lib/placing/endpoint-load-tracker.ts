/**
 * Tracks the load of each endpoint from own requests, peers' reports and response headers, and
 * estimates how fast it computes prompts and generates output.
 */
import {type EndpointLoadReport} from '../fleet/call-headers.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type PeerReport} from '../peers/peer-report.js';
import {createEndpointPace} from './endpoint-pace.js';

/** Known load of an endpoint from all daemons. */
export type EndpointLoad = {
	/** Requests in flight. */
	running: number;
	/** Prompt tokens that are computed before those of a new request. */
	pendingTokens: number;
	/** Prompt and output tokens of the requests in flight, which occupy the engine's memory. */
	memoryTokens: number;
	/** Milliseconds for which the oldest request of this daemon has waited for its first event. */
	oldestWaitMs: number;
	/** Milliseconds until the last request in flight is expected to end. */
	remainingMs: number;
};

/** A request in flight. */
export type TrackedRequest = {
	/** Records the first event: the prompt has been computed. */
	begun: () => void;
	/** Records the end of the request; `isWhole` when its answer is complete. */
	ended: (isWhole: boolean) => void;
};

/** Size of a request. */
export type RequestSize = {
	/** Prompt tokens that are not expected to be cached. */
	missingTokens: number;
	/** Prompt and output tokens. */
	memoryTokens: number;
	/** Upper bound on generated tokens; determines the expected run time. */
	outputTokens: number;
};

/** Loads and speed estimates of all endpoints, by endpoint id. */
export type EndpointLoadTracker = {
	load: (endpoint: LiveEndpoint) => EndpointLoad;
	/** Requests of this daemon in flight. */
	ownRunning: (id: string) => number;
	/** Requests of the peers in flight, by their last reports. */
	peersRunning: (id: string) => number;
	/** Whether a request of this daemon, or one that a peer has just reported, hasn't begun at the endpoint. */
	hasUnstarted: (id: string) => boolean;
	/** Estimated milliseconds to compute one prompt token at the usual pace. */
	msPerToken: (id: string) => number;
	/** Estimated milliseconds to the first event at the usual pace, without the time to compute the prompt. */
	baseMs: (id: string) => number;
	/** Estimated duration of work at the endpoint at this moment, relative to the usual (1). */
	paceRatio: (id: string) => number;
	/** Estimated milliseconds from the first event of an answer of this size to its end. */
	runMs: (outputTokens: number) => number;
	/** Adds a request to the load. */
	start: (id: string, size: RequestSize) => TrackedRequest;
	/** Records the load that a response of the endpoint reported. */
	recordReportedLoad: (id: string, report: EndpointLoadReport) => void;
	/** Records the pace that a response of the endpoint states, when its head arrives. */
	recordPace: (id: string, ratio: number) => void;
	/**
	 * Updates the speed estimates; `firstMs` is the time from sending a request to its first event at
	 * the usual pace, see {@link firstMsAtUsualPace}.
	 */
	updateEstimates: (id: string, firstMs: number, missingTokens: number, pendingTokens: number) => void;
	applyPeerReport: (report: PeerReport) => void;
	removePeer: (daemon: string) => void;
	forget: (id: string) => void;
	/** This daemon's loads, for its report. */
	report: () => PeerReport['loads'];
	/** The pace of endpoints as they stated it to this daemon, for its report. */
	reportPaces: () => PeerReport['paces'];
};

/**
 * The time to the first event without momentary slowness, which must not be learnt as the endpoint's
 * speed. Takes the mean of the expected pace when the request was sent and the pace stated in the response.
 */
export const firstMsAtUsualPace = (firstMs: number, expectedPace: number, statedPace: number | undefined): number =>
	statedPace === undefined ? firstMs : firstMs * 2 / (expectedPace + statedPace);

type OpenRequest = {size: RequestSize; startedAt: number; begunAt: number | undefined};

type Entry = {
	open: Set<OpenRequest>;
	msPerToken: number;
	baseMs: number;
	told: {report: EndpointLoadReport; at: number; ownRunningThen: number} | undefined;
};

type PeerLoads = {at: number; loads: PeerReport['loads']};

/** Load of one endpoint from all peers. */
type PeerSum = Pick<EndpointLoad, 'running' | 'pendingTokens' | 'memoryTokens'> & {
	/** When its last request is expected to end. */
	endsAt: number;
	/** Until when a peer's report of requests that haven't begun counts. */
	unstartedUntil: number;
};

const noPeerLoad: Readonly<PeerSum> = {
	running: 0, pendingTokens: 0, memoryTokens: 0, endsAt: Number.NEGATIVE_INFINITY, unstartedUntil: Number.NEGATIVE_INFINITY,
};

/** Initial estimates in milliseconds, updated as exponential moving averages. */
const initialMsPerToken = 0.03;
const initialBaseMs = 15;
/** Requests with fewer tokens to compute update `baseMs`, others `msPerToken`. */
const minTokensForRate = 1024;
const rateSmoothing = 0.2;
/** Smaller than `rateSmoothing`, so that the two estimates don't oscillate. */
const baseSmoothing = 0.1;
const minTokensForRun = 32;
/** Small, since answers often end before their upper bound of tokens. */
const runSmoothing = 0.05;
const initialRunMsPerToken = 5;
/** Time after which a load reported by an endpoint is ignored. */
const endpointReportTtlMs = 700;
const minPeerTtlMs = 1500;
/**
 * Time for which a peer's report counts in {@link EndpointLoadTracker.hasUnstarted}. Later the request has begun, or the
 * endpoint's own report shows it; reports are up to 500 ms apart.
 */
const unstartedTtlMs = 600;
/** A peer's loads are ignored after this many refresh intervals, but not before `minPeerTtlMs`. */
const refreshesPerPeerTtl = 3;

/** Options of {@link createEndpointLoadTracker}. */
export type EndpointLoadTrackerOptions = {
	/** Called when a request with a large prompt starts, which peers should know of at once. */
	onLarge?: () => void;
	/** Maximum milliseconds between two reports from one peer. */
	refreshMs?: () => number;
};

/**
 * Uncached prompt tokens from which peers are notified at once. Until the next regular report
 * they would take the busy engine for idle.
 */
const largePromptTokens = 2000;

/** Creates a tracker without requests or reports. */
export function createEndpointLoadTracker({onLarge, refreshMs = () => 0}: EndpointLoadTrackerOptions = {}): EndpointLoadTracker {
	const entries = new Map<string, Entry>();
	const peers = new Map<string, PeerLoads>();
	/** Sums over `peers`, by endpoint; invalid after `peerSumsValidUntil`. */
	let peerSums = new Map<string, PeerSum>();
	let peerSumsValidUntil = Number.NEGATIVE_INFINITY;
	let runMsPerToken = initialRunMsPerToken;
	const pace = createEndpointPace();

	const entryOf = (id: string): Entry => {
		let entry = entries.get(id);
		if (entry === undefined) {
			entry = {
				open: new Set(), msPerToken: initialMsPerToken, baseMs: initialBaseMs, told: undefined,
			};
			entries.set(id, entry);
		}

		return entry;
	};

	const ownLoad = (entry: Entry, now: number): EndpointLoad => {
		const load: EndpointLoad = {
			running: 0, pendingTokens: 0, memoryTokens: 0, oldestWaitMs: 0, remainingMs: 0,
		};
		for (const work of entry.open) {
			load.running++;
			load.memoryTokens += work.size.memoryTokens;
			load.remainingMs = Math.max(load.remainingMs, (work.begunAt ?? now) + (work.size.outputTokens * runMsPerToken) - now);
			if (work.begunAt === undefined) {
				load.pendingTokens += work.size.missingTokens;
				load.oldestWaitMs = Math.max(load.oldestWaitMs, now - work.startedAt);
			}
		}

		return load;
	};

	const sumPeers = (now: number): void => {
		const peerTtlMs = Math.max(minPeerTtlMs, refreshMs() * refreshesPerPeerTtl);
		peerSums = new Map();
		peerSumsValidUntil = Number.POSITIVE_INFINITY;
		for (const {at, loads} of peers.values()) {
			if (now > at + peerTtlMs) {
				continue;
			}

			peerSumsValidUntil = Math.min(peerSumsValidUntil, at + peerTtlMs);
			for (const [id, running, pendingTokens, memoryTokens, lastsMs] of loads) {
				let sum = peerSums.get(id);
				if (sum === undefined) {
					sum = {...noPeerLoad};
					peerSums.set(id, sum);
				}

				sum.running += running;
				sum.pendingTokens += pendingTokens;
				sum.memoryTokens += memoryTokens;
				sum.endsAt = Math.max(sum.endsAt, at + lastsMs);
				sum.unstartedUntil = pendingTokens > 0 ? Math.max(sum.unstartedUntil, at + unstartedTtlMs) : sum.unstartedUntil;
			}
		}
	};

	const invalidatePeerSums = (): void => {
		peerSumsValidUntil = Number.NEGATIVE_INFINITY;
	};

	const peerLoad = (id: string, now: number): PeerSum => {
		if (now > peerSumsValidUntil) {
			sumPeers(now);
		}

		return peerSums.get(id) ?? noPeerLoad;
	};

	return {
		load({id}) {
			const now = performance.now();
			const entry = entryOf(id);
			const load = ownLoad(entry, now);
			const others = peerLoad(id, now);
			const {told} = entry;
			let running = load.running + others.running;
			if (told !== undefined && now - told.at <= endpointReportTtlMs) {
				// The load at the time of the response, plus the change in this daemon's requests since.
				running = Math.max(running, told.report.running + told.report.waiting - told.ownRunningThen + load.running);
			}

			return {
				running,
				pendingTokens: load.pendingTokens + others.pendingTokens,
				memoryTokens: load.memoryTokens + others.memoryTokens,
				oldestWaitMs: load.oldestWaitMs,
				remainingMs: Math.max(load.remainingMs, others.endsAt - now),
			};
		},
		ownRunning: id => entries.get(id)?.open.size ?? 0,
		peersRunning: id => peerLoad(id, performance.now()).running,
		hasUnstarted(id) {
			const now = performance.now();
			return [...entries.get(id)?.open ?? []].some(({begunAt}) => begunAt === undefined) || now <= peerLoad(id, now).unstartedUntil;
		},
		msPerToken: id => entryOf(id).msPerToken,
		baseMs: id => entryOf(id).baseMs,
		paceRatio: pace.ratio,
		recordPace: pace.recordStated,
		runMs: outputTokens => outputTokens * runMsPerToken,
		start(id, size) {
			const entry = entryOf(id);
			const work: OpenRequest = {size, startedAt: performance.now(), begunAt: undefined};
			entry.open.add(work);
			if (size.missingTokens >= largePromptTokens) {
				onLarge?.();
			}

			return {
				begun() {
					work.begunAt ??= performance.now();
				},
				ended(isWhole) {
					entry.open.delete(work);
					if (isWhole && work.begunAt !== undefined && size.outputTokens >= minTokensForRun) {
						runMsPerToken += runSmoothing * (((performance.now() - work.begunAt) / size.outputTokens) - runMsPerToken);
					}
				},
			};
		},
		recordReportedLoad(id, report) {
			const entry = entryOf(id);
			entry.told = {report, at: performance.now(), ownRunningThen: entry.open.size};
		},
		updateEstimates(id, firstMs, missingTokens, pendingTokens) {
			const entry = entryOf(id);
			const tokens = missingTokens + pendingTokens;
			if (tokens < minTokensForRate) {
				const seen = Math.max(0, firstMs - (tokens * entry.msPerToken));
				entry.baseMs += baseSmoothing * (Math.min(seen, entry.baseMs * 4) - entry.baseMs);
			} else {
				const seen = Math.max(0, firstMs - entry.baseMs) / tokens;
				entry.msPerToken += rateSmoothing * (Math.min(seen, entry.msPerToken * 2) - entry.msPerToken);
			}
		},
		applyPeerReport(report) {
			peers.set(report.daemon, {at: performance.now(), loads: report.loads});
			pace.applyPeerReport(report.paces);
			invalidatePeerSums();
		},
		removePeer(daemon) {
			peers.delete(daemon);
			invalidatePeerSums();
		},
		forget(id) {
			entries.delete(id);
			pace.forget(id);
		},
		report() {
			const now = performance.now();
			const loads: PeerReport['loads'] = [];
			for (const [id, entry] of entries) {
				if (entry.open.size > 0) {
					const {running, pendingTokens, memoryTokens, remainingMs: lastsMs} = ownLoad(entry, now);
					// A request that hasn't begun shows even if all of its tokens are cached.
					const unstarted = [...entry.open].filter(({begunAt}) => begunAt === undefined).length;
					loads.push([id, running, Math.max(unstarted, Math.round(pendingTokens)), Math.round(memoryTokens), Math.round(lastsMs)]);
				}
			}

			return loads;
		},
		reportPaces: pace.report,
	};
}
