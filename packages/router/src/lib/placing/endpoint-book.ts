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
};

/** One request under way. */
export type Work = {
	/** The answer began: the prompt has been computed. */
	begun: () => void;
	/** The request ended, however. */
	ended: () => void;
};

/** What a request brings to an endpoint. */
export type WorkSize = {
	/** Prompt tokens that are not expected to be cached. */
	missingTokens: number;
	/** Prompt and output tokens. */
	memoryTokens: number;
};

/** The loads of all endpoints. */
export type EndpointBook = {
	load: (endpoint: LiveEndpoint) => EndpointLoad;
	/** This daemon's own requests under way there. */
	ownRunning: (id: string) => number;
	/** Milliseconds to compute one prompt token there. */
	msPerToken: (id: string) => number;
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

type OpenWork = {size: WorkSize; startedAt: number; hasBegun: boolean};

type Entry = {
	open: Set<OpenWork>;
	msPerToken: number;
	told: {report: EndpointLoadReport; at: number; ownThen: number} | undefined;
};

type PeerLoads = {at: number; loads: Map<string, {running: number; pendingTokens: number; memoryTokens: number}>};

/** A first guess, in milliseconds; answers correct it within a few requests. */
const firstMsPerToken = 0.03;
/** Fewest tokens whose computing shows in the time to the first event. */
const fewestTokensToLearn = 1024;
const learnStep = 0.2;
/** Time of a first event that is not computing of the prompt, in milliseconds: network, admission and one step. */
const fixedFirstMs = 15;
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

	const entryOf = (id: string): Entry => {
		let entry = entries.get(id);
		if (entry === undefined) {
			entry = {open: new Set(), msPerToken: firstMsPerToken, told: undefined};
			entries.set(id, entry);
		}

		return entry;
	};

	const ownLoad = (entry: Entry, now: number): EndpointLoad => {
		const load: EndpointLoad = {
			running: 0, pendingTokens: 0, memoryTokens: 0, oldestWaitMs: 0,
		};
		for (const work of entry.open) {
			load.running++;
			load.memoryTokens += work.size.memoryTokens;
			if (!work.hasBegun) {
				load.pendingTokens += work.size.missingTokens;
				load.oldestWaitMs = Math.max(load.oldestWaitMs, now - work.startedAt);
			}
		}

		return load;
	};

	const peerLoad = (id: string, now: number): {running: number; pendingTokens: number; memoryTokens: number} => {
		const sum = {running: 0, pendingTokens: 0, memoryTokens: 0};
		for (const {at, loads} of peers.values()) {
			const load = now - at > peerLifeMs ? undefined : loads.get(id);
			if (load !== undefined) {
				sum.running += load.running;
				sum.pendingTokens += load.pendingTokens;
				sum.memoryTokens += load.memoryTokens;
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
			};
		},
		ownRunning: id => entries.get(id)?.open.size ?? 0,
		msPerToken: id => entryOf(id).msPerToken,
		start(id, size) {
			const entry = entryOf(id);
			const work: OpenWork = {size, startedAt: performance.now(), hasBegun: false};
			entry.open.add(work);
			if (size.missingTokens >= largeTokens) {
				onLarge?.();
			}

			return {
				begun() {
					work.hasBegun = true;
				},
				ended() {
					entry.open.delete(work);
				},
			};
		},
		told(id, report) {
			const entry = entryOf(id);
			entry.told = {report, at: performance.now(), ownThen: entry.open.size};
		},
		learn(id, firstMs, missingTokens, pendingTokens) {
			if (missingTokens < fewestTokensToLearn) {
				return;
			}

			const entry = entryOf(id);
			const seen = Math.max(0, firstMs - fixedFirstMs) / (missingTokens + pendingTokens);
			entry.msPerToken += learnStep * (Math.min(seen, entry.msPerToken * 2) - entry.msPerToken);
		},
		heard(report) {
			const loads = new Map(report.loads.map(([id, running, pendingTokens, memoryTokens]) => [id, {running, pendingTokens, memoryTokens}]));
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
					const {running, pendingTokens, memoryTokens} = ownLoad(entry, now);
					loads.push([id, running, pendingTokens, memoryTokens]);
				}
			}

			return loads;
		},
	};
}
