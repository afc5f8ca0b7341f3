/**
 * What this daemon knows of each endpoint's load: its own requests under way,
 * what peers report of theirs, what answers tell, and how fast the endpoint
 * reads prompts.
 */
import {type EndpointLoadReport} from '../fleet/call-headers.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type PeerReport} from '../peers/peer-report.js';

/** Load of an endpoint over all daemons, as far as this one knows. */
export type EndpointLoad = {
	/** Requests under way. */
	running: number;
	/** Prompt tokens that wait to be computed before a new request's own. */
	pendingTokens: number;
	/** Tokens in memory of requests under way. */
	memoryTokens: number;
	/** How long the oldest own request has waited for the start of its answer, in milliseconds. */
	oldestWaitMs: number;
	/** Until the last of the requests under way ends, as expected, in milliseconds. */
	lastsMs: number;
};

/** One request under way. */
export type Work = {
	/** The answer began: the prompt has been computed. */
	begun: () => void;
	/** The request ended; `isWhole` when its answer is complete. */
	ended: (isWhole: boolean) => void;
};

/** What a request brings to an endpoint. */
export type WorkSize = {
	/** Prompt tokens that are not expected to be cached. */
	missingTokens: number;
	/** Prompt and output tokens. */
	memoryTokens: number;
	/** Tokens that may be generated; they say how long the answer takes once it has begun. */
	outputTokens: number;
};

/** The loads of all endpoints. */
export type EndpointBook = {
	load: (endpoint: LiveEndpoint) => EndpointLoad;
	/** This daemon's own requests under way there. */
	ownRunning: (id: string) => number;
	/** Milliseconds to compute one prompt token there. */
	msPerToken: (id: string) => number;
	/** Milliseconds to a first event there that are no computing of the prompt. */
	baseMs: (id: string) => number;
	/** Milliseconds from the first event of an answer of so many tokens to its end, as seen lately. */
	runMs: (outputTokens: number) => number;
	start: (id: string, size: WorkSize) => Work;
	/** An answer told the endpoint's whole load. */
	told: (id: string, report: EndpointLoadReport) => void;
	/** A request's answer began this long after it was sent. */
	learn: (id: string, firstMs: number, missingTokens: number, pendingTokens: number) => void;
	heard: (report: PeerReport) => void;
	leftPeer: (daemon: string) => void;
	forget: (id: string) => void;
	/** This daemon's own part of the report. */
	report: () => PeerReport['loads'];
};

type OpenWork = {size: WorkSize; startedAt: number; begunAt: number | undefined};

type Entry = {
	open: Set<OpenWork>;
	msPerToken: number;
	baseMs: number;
	told: {report: EndpointLoadReport; at: number; ownThen: number} | undefined;
};

type PeerLoad = Omit<EndpointLoad, 'oldestWaitMs'>;

type PeerLoads = {at: number; loads: Map<string, PeerLoad>};

/** A first guess, in milliseconds; answers correct it within a few requests. */
const firstMsPerToken = 0.03;
/** A first guess of what comes on top of computing the prompt, in milliseconds: network, admission, the first step. */
const firstBaseMs = 15;
/** Requests with fewer tokens to compute than this say what comes on top of computing; those with more say how fast it is. */
const fewestTokensToLearn = 1024;
const learnStep = 0.2;
/** Slower than the rate, so that the two don't chase each other. */
const learnBaseStep = 0.1;
/** Fewest tokens of an answer whose time says something about generating. */
const fewestTokensOfRun = 32;
/** A twentieth: answers end before their largest size, some soon, some late. */
const learnRunStep = 0.05;
/** First guess of the time to generate a token, in milliseconds; a decoding step of today's engines. */
const firstRunMsPerToken = 5;
/** Age in milliseconds at which a told load or a peer's report says nothing any more. */
const toldLifeMs = 700;
const peerLifeMs = 1500;

/** Options of {@link createEndpointBook}. */
export type EndpointBookOptions = {
	/** Called when a request began that others should know of before they choose. */
	onLarge?: () => void;
};

/**
 * Prompt tokens from which a request is told to peers at once: it keeps an
 * engine busy for about as long as a round of reports, in which each of the
 * other daemons would take the engine for free.
 */
const largeTokens = 2000;

/** Opens an empty book. */
export function createEndpointBook({onLarge}: EndpointBookOptions = {}): EndpointBook {
	const entries = new Map<string, Entry>();
	const peers = new Map<string, PeerLoads>();
	let runMsPerToken = firstRunMsPerToken;

	const entryOf = (id: string): Entry => {
		let entry = entries.get(id);
		if (entry === undefined) {
			entry = {
				open: new Set(), msPerToken: firstMsPerToken, baseMs: firstBaseMs, told: undefined,
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

	const peerLoad = (id: string, now: number): PeerLoad => {
		const sum: PeerLoad = {
			running: 0, pendingTokens: 0, memoryTokens: 0, lastsMs: 0,
		};
		for (const {at, loads} of peers.values()) {
			const load = now - at > peerLifeMs ? undefined : loads.get(id);
			if (load !== undefined) {
				sum.running += load.running;
				sum.pendingTokens += load.pendingTokens;
				sum.memoryTokens += load.memoryTokens;
				sum.lastsMs = Math.max(sum.lastsMs, load.lastsMs - (now - at));
			}
		}

		return sum;
	};

	return {
		load({id}) {
			const now = performance.now();
			const entry = entryOf(id);
			const load = ownLoad(entry, now);
			const others = peerLoad(id, now);
			const {told} = entry;
			let running = load.running + others.running;
			if (told !== undefined && now - told.at <= toldLifeMs) {
				// What the endpoint counted then, and what this daemon has sent since.
				running = Math.max(running, told.report.running + told.report.waiting - told.ownThen + load.running);
			}

			return {
				running,
				pendingTokens: load.pendingTokens + others.pendingTokens,
				memoryTokens: load.memoryTokens + others.memoryTokens,
				oldestWaitMs: load.oldestWaitMs,
				lastsMs: Math.max(load.lastsMs, others.lastsMs),
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
					if (isWhole && work.begunAt !== undefined && size.outputTokens >= fewestTokensOfRun) {
						runMsPerToken += learnRunStep * (((performance.now() - work.begunAt) / size.outputTokens) - runMsPerToken);
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
			if (tokens < fewestTokensToLearn) {
				const seen = Math.max(0, firstMs - (tokens * entry.msPerToken));
				entry.baseMs += learnBaseStep * (Math.min(seen, entry.baseMs * 4) - entry.baseMs);
			} else {
				const seen = Math.max(0, firstMs - entry.baseMs) / tokens;
				entry.msPerToken += learnStep * (Math.min(seen, entry.msPerToken * 2) - entry.msPerToken);
			}
		},
		heard(report) {
			const loads = new Map(report.loads.map(([id, running, pendingTokens, memoryTokens, lastsMs]) => [id, {
				running, pendingTokens, memoryTokens, lastsMs,
			}]));
			peers.set(report.daemon, {at: performance.now(), loads});
		},
		leftPeer(daemon) {
			peers.delete(daemon);
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
