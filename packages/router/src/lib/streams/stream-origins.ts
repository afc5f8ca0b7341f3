/**
 * Records where streams began, so that a caller whose daemon is lost can take its stream up at any
 * other. While a service has several software versions, each stream is reported to a few daemons
 * that rendezvous hashing chooses by its key, and any daemon asks these.
 */
import {LRUCache} from 'lru-cache';
import {z} from 'zod';
import {orderedBy} from '../routing/rendezvous.js';
import {type StreamOrigin} from './stream-origin.js';

/** Service, software version, keys of streams that began there. */
export const streamReportSchema = z.tuple([z.string(), z.string(), z.array(z.string())]);

/** Streams that began at one version of one service. */
export type StreamReport = z.infer<typeof streamReportSchema>;

/** Options of {@link createStreamOrigins}. */
export type StreamOriginsOptions = {
	/** Names of all known peers, including silent ones, so that a daemon that is lost changes few keepers. */
	peers: () => readonly string[];
	/** Whether another daemon could not tell a stream's version from its service alone. */
	mustReport: (service: string) => boolean;
	/** Called when these peers must get a report. */
	onUnreported: (peers: readonly string[]) => void;
	/** Longest time in milliseconds for which a caller may take up a stream again. */
	streamMs: () => number;
};

/** The record of one daemon. */
export type StreamOrigins = {
	/** Records that this daemon passes on a stream that began there. */
	began: (key: string, origin: StreamOrigin) => void;
	originOf: (key: string) => StreamOrigin | undefined;
	/** Reports the service's streams that began while that wasn't needed. */
	reportAll: (service: string) => void;
	/** Streams of this daemon that had to be reported so far. */
	reportedCount: () => number;
	/** This daemon's latest streams whose version others can't tell. */
	latestReports: () => StreamReport[];
	/** Peers that may have been told of a stream. */
	keepersOf: (key: string) => string[];
	/** Takes what a peer has to be told. */
	takeUnreported: (peer: string) => StreamReport[];
	applyPeerReport: (reports: readonly StreamReport[]) => void;
};

/** Daemons that are told of a stream; enough for most streams to stay known when half of a fleet is lost at once. */
const keeperCount = 4;

/** Upper bound on recorded streams; those used longest ago are evicted first. */
const maxStreams = 32_768;

/** Keys in one report, which keep it within one datagram. */
const maxReportedKeys = 512;

/** Streams in one report of all; the newest, which are the likeliest to be taken up again. */
const maxLatest = 2000;

/** Longer keys are no digests. */
const maxKeyChars = 64;

type Recorded = {origin: StreamOrigin; at: number; isOwn: boolean};

/** Creates an empty record. */
export function createStreamOrigins(options: StreamOriginsOptions): StreamOrigins {
	const recorded = new LRUCache<string, Recorded>({max: maxStreams});
	/** Keys by peer. */
	const unreported = new Map<string, Set<string>>();
	let reportedCount = 0;

	const rank = (key: string): string[] => orderedBy(`stream ${key}`, options.peers());

	const report = (keys: readonly string[]): void => {
		reportedCount += keys.length;
		const recipients = new Set<string>();
		for (const key of keys) {
			for (const peer of rank(key).slice(0, keeperCount)) {
				recipients.add(peer);
				unreported.set(peer, (unreported.get(peer) ?? new Set()).add(key));
			}
		}

		if (recipients.size > 0) {
			options.onUnreported([...recipients]);
		}
	};

	const currentOf = (key: string): Recorded | undefined => {
		const known = recorded.get(key);
		return known === undefined || performance.now() - known.at > options.streamMs() ? undefined : known;
	};

	/** Groups these streams by their origins. */
	const reportsOf = (keys: Iterable<string>): StreamReport[] => {
		const reports = new Map<string, StreamReport>();
		for (const key of keys) {
			const origin = currentOf(key)?.origin;
			if (origin !== undefined) {
				const {service, software} = origin;
				const name = JSON.stringify([service, software]);
				const known = reports.get(name) ?? [service, software, []];
				known[2].push(key);
				reports.set(name, known);
			}
		}

		return [...reports.values()];
	};

	return {
		began(key, origin) {
			recorded.set(key, {origin, at: performance.now(), isOwn: true});
			if (options.mustReport(origin.service)) {
				report([key]);
			}
		},
		originOf: key => currentOf(key)?.origin,
		reportAll(service) {
			const keys: string[] = [];
			for (const [key, {origin, isOwn}] of recorded.entries()) {
				if (isOwn && origin.service === service && currentOf(key) !== undefined) {
					keys.push(key);
				}
			}

			report(keys);
		},
		reportedCount: () => reportedCount,
		latestReports() {
			const keys: string[] = [];
			for (const [key, {origin, isOwn}] of recorded.entries()) {
				if (keys.length === maxLatest) {
					break;
				}

				if (isOwn && options.mustReport(origin.service)) {
					keys.push(key);
				}
			}

			return reportsOf(keys);
		},
		// One more than are told: a daemon that tells isn't among its own keepers.
		keepersOf: key => rank(key).slice(0, keeperCount + 1),
		takeUnreported(peer) {
			const keys = [...unreported.get(peer) ?? []];
			unreported.delete(peer);
			if (keys.length > maxReportedKeys) {
				unreported.set(peer, new Set(keys.splice(maxReportedKeys)));
				options.onUnreported([peer]);
			}

			return reportsOf(keys);
		},
		applyPeerReport(reports) {
			for (const [service, software, keys] of reports) {
				for (const key of keys.filter(({length}) => length <= maxKeyChars)) {
					recorded.set(key, {origin: {service, software}, at: performance.now(), isOwn: false});
				}
			}
		},
	};
}
