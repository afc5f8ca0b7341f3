/**
 * Load of each endpoint, from own requests, peers' reports and response headers, and
 * estimates of its prompt speed.
 */
import {type EndpointLoadReport} from '../fleet/call-headers.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type PeerReport} from '../peers/peer-report.js';

/** Known load of an endpoint over all daemons. */
export type EndpointLoad = {
	/** Requests in flight. */
	running: number;
	/** Queued prompt tokens that are computed before a new request's own. */
	pendingTokens: number;
	/** Tokens in memory of requests in flight. */
	memoryTokens: number;
	/** Milliseconds for which the oldest own request has waited for its first event. */
	oldestWaitMs: number;
	/** Milliseconds until the last request in flight is expected to end. */
	lastsMs: number;
};

/** One request in flight. */
export type Work = {
	/** The first event arrived, so the prompt has been computed. */
	begun: () => void;
	/** The request ended; `isWhole` when its answer is complete. */
	ended: (isWhole: boolean) => void;
};

/** Size of a request. */
export type WorkSize = {
	/** Prompt tokens that are not expected to be cached. */
	missingTokens: number;
	/** Prompt and output tokens. */
	memoryTokens: number;
	/** Upper bound on generated tokens; determines the expected run time. */
	outputTokens: number;
};

/** The loads of all endpoints. */
export type EndpointBook = {
	load: (endpoint: LiveEndpoint) => EndpointLoad;
	/** Own requests in flight. */
	ownRunning: (id: string) => number;
	/** Estimated milliseconds to compute one prompt token. */
	msPerToken: (id: string) => number;
	/** Estimated milliseconds to the first event, apart from computing the prompt. */
	baseMs: (id: string) => number;
	/** Estimated milliseconds from the first event of an answer of this size to its end. */
	runMs: (outputTokens: number) => number;
	start: (id: string, size: WorkSize) => Work;
	/** A response reported the endpoint's load. */
	told: (id: string, report: EndpointLoadReport) => void;
	/** Updates the estimates with the time from sending a request to its first event. */
	learn: (id: string, firstMs: number, missingTokens: number, pendingTokens: number) => void;
	heard: (report: PeerReport) => void;
	leftPeer: (daemon: string) => void;
	forget: (id: string) => void;
	/** This daemon's loads, for its report. */
	report: () => PeerReport['loads'];
};

type OpenWork = {size: WorkSize; startedAt: number; begunAt: number | undefined};

type Entry = {
	open: Set<OpenWork>;
	msPerToken: number;
	baseMs: number;
	told: {report: EndpointLoadReport; at: number; ownThen: number} | undefined;
};

type PeerLoads = {at: number; loads: PeerReport['loads']};

/** Load of one endpoint from all peers; `endsAt` is when its last request is expected to end. */
type PeerSum = Pick<EndpointLoad, 'running' | 'pendingTokens' | 'memoryTokens'> & {endsAt: number};

const noPeerLoad: Readonly<PeerSum> = {
	running: 0, pendingTokens: 0, memoryTokens: 0, endsAt: Number.NEGATIVE_INFINITY,
};

/** Initial estimates, in milliseconds; replaced by moving averages. */
const initialMsPerToken = 0.03;
const initialBaseMs = 15;
/** Requests with fewer tokens to compute update `baseMs`, larger ones `msPerToken`. */
const minTokensForRate = 1024;
const rateSmoothing = 0.2;
/** Slower than the rate, so that the two estimates don't oscillate. */
const baseSmoothing = 0.1;
const minTokensForRun = 32;
/** Small, since answers often end before their upper bound. */
const runSmoothing = 0.05;
const initialRunMsPerToken = 5;
/** Reports older than this are ignored. */
const toldTtlMs = 700;
const minPeerTtlMs = 1500;
/** Refresh intervals after which a peer's loads are ignored. */
const refreshesPerPeerTtl = 3;

/** Options of {@link createEndpointBook}. */
export type EndpointBookOptions = {
	/** Called when a request begins that peers should know of at once. */
	onLarge?: () => void;
	/** Maximum time between two reports from one peer. */
	refreshMs?: () => number;
};

/**
 * Prompt tokens from which peers are told at once; until the next report they would take the
 * busy engine for idle.
 */
const largeTokens = 2000;

/** Creates an empty book. */
export function createEndpointBook({onLarge, refreshMs = () => 0}: EndpointBookOptions = {}): EndpointBook {
	const entries = new Map<string, Entry>();
	const peers = new Map<string, PeerLoads>();
	/** Sums over `peers`, by endpoint; void after `peerSumsUntil`. */
	let peerSums = new Map<string, PeerSum>();
	let peerSumsUntil = Number.NEGATIVE_INFINITY;
	let runMsPerToken = initialRunMsPerToken;

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
			running: 0, pendingTokens: 0, memoryTokens: 0, oldestWaitMs: 0, lastsMs: 0,
		};
		for (const work of entry.open) {
			load.running++;
			load.memoryTokens += work.size.memoryTokens;
			load.lastsMs = Math.max(load.lastsMs, (work.begunAt ?? now) + (work.size.outputTokens * runMsPerToken) - now);
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
		peerSumsUntil = Number.POSITIVE_INFINITY;
		for (const {at, loads} of peers.values()) {
			if (now > at + peerTtlMs) {
				continue;
			}

			peerSumsUntil = Math.min(peerSumsUntil, at + peerTtlMs);
			for (const [id, running, pendingTokens, memoryTokens, lastsMs] of loads) {
				const sum = peerSums.get(id) ?? noPeerLoad;
				peerSums.set(id, {
					running: sum.running + running,
					pendingTokens: sum.pendingTokens + pendingTokens,
					memoryTokens: sum.memoryTokens + memoryTokens,
					endsAt: Math.max(sum.endsAt, at + lastsMs),
				});
			}
		}
	};

	const forgetPeerSums = (): void => {
		peerSumsUntil = Number.NEGATIVE_INFINITY;
	};

	const peerLoad = (id: string, now: number): PeerSum => {
		if (now > peerSumsUntil) {
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
			if (told !== undefined && now - told.at <= toldTtlMs) {
				// The load at the time of the response, and what this daemon has sent since.
				running = Math.max(running, told.report.running + told.report.waiting - told.ownThen + load.running);
			}

			return {
				running,
				pendingTokens: load.pendingTokens + others.pendingTokens,
				memoryTokens: load.memoryTokens + others.memoryTokens,
				oldestWaitMs: load.oldestWaitMs,
				lastsMs: Math.max(load.lastsMs, others.endsAt - now),
			};
		},
		ownRunning: id => entries.get(id)?.open.size ?? 0,
		msPerToken: id => entryOf(id).msPerToken,
		baseMs: id => entryOf(id).baseMs,
		runMs: outputTokens => outputTokens * runMsPerToken,
		start(id, size) {
			const entry = entryOf(id);
			const work: OpenWork = {size, startedAt: performance.now(), begunAt: undefined};
			entry.open.add(work);
			if (size.missingTokens >= largeTokens) {
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
		told(id, report) {
			const entry = entryOf(id);
			entry.told = {report, at: performance.now(), ownThen: entry.open.size};
		},
		learn(id, firstMs, missingTokens, pendingTokens) {
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
		heard(report) {
			peers.set(report.daemon, {at: performance.now(), loads: report.loads});
			forgetPeerSums();
		},
		leftPeer(daemon) {
			peers.delete(daemon);
			forgetPeerSums();
		},
		forget(id) {
			entries.delete(id);
		},
		report() {
			const now = performance.now();
			const loads: PeerReport['loads'] = [];
			for (const [id, entry] of entries) {
				if (entry.open.size > 0) {
					const {running, pendingTokens, memoryTokens, lastsMs} = ownLoad(entry, now);
					loads.push([id, running, Math.round(pendingTokens), Math.round(memoryTokens), Math.round(lastsMs)]);
				}
			}

			return loads;
		},
	};
}
