/**
 * Refuses requests that crash the endpoints they run on, consistently on all daemons, and requests
 * with a prompt part that does so. Both are known by a key: the digest of the request, or the part's key.
 *
 * A refusal lasts for a term, since endpoints and weights are replaced. Then one daemon claims
 * the right to send the request once. The claim starts a new, longer term, and only a complete
 * response lifts the refusal.
 */
import {LRUCache} from 'lru-cache';
import {type Log} from '../observability/log.js';
import {
	type CrashCause, type CrashEvidenceOptions, createCrashEvidence, type ObservedCrash, type Suspect,
} from './crash-evidence.js';
import {type QuarantineReport} from './quarantine-report.js';

/** How a request is to be treated. `suspect`: was in flight at a crash; `due`: may be sent once by the daemon that claims it. */
export type Standing = 'clear' | 'suspect' | 'refused' | 'due';

/** A refusal as stored outside this process. */
export type Refusal = {
	/** Digest of the request, or key of the part. */
	digest: string;
	/** Number of the term, from 1; incremented whenever the request is refused anew. */
	term: number;
	/** Milliseconds until the term ends. */
	msLeft: number;
};

/** Stores refusals for daemons that have lost theirs, and grants claims. */
export type RefusalStore = {
	save: (refusal: Refusal) => void;
	/** Resolves to whether this refusal replaced that of the previous term. */
	claim: (refusal: Refusal) => Promise<boolean>;
	remove: (digest: string) => void;
};

/** Options of {@link createQuarantine}. */
export type QuarantineOptions = {
	/** Name of this daemon. */
	name: string;
	store: RefusalStore;
	evidence?: Omit<CrashEvidenceOptions, 'isKnownCause'>;
	/** Length of the first term in milliseconds; each further one is twice as long. Default 300,000. */
	firstTermMs?: number;
	/** Maximum length of a term in milliseconds. Default 3,600,000. */
	maxTermMs?: number;
	/** Maximum number of refusals; the least recently used are evicted first. Default 1,024. */
	maxRefusals?: number;
	/** Called when peers must get a new report soon. */
	onUpdate: () => void;
	log: Log;
};

/** Refusals of requests that crash endpoints. */
export type Quarantine = {
	standingOf: (digest: string) => Standing;
	/** Whether a request or part is refused, or due; `undefined` while it is accepted. Costs no look at the crashes. */
	refusalOf: (key: string) => 'refused' | 'due' | undefined;
	/** Claims the right to send a due request once; never rejects. */
	claim: (digest: string) => Promise<boolean>;
	/** Records a crash that this daemon observed. */
	recordCrash: (crash: ObservedCrash) => void;
	/** Records that a request completed. */
	markCompleted: (digest: string) => void;
	/** Processes a peer's report. */
	applyPeerReport: (peer: string, report: QuarantineReport) => void;
	/** Refusals in force. */
	current: () => Refusal[];
	/** Merges refusals from the store. */
	restore: (refusals: readonly Refusal[]) => void;
	/** This daemon's report. */
	report: () => QuarantineReport;
	/** Adds a listener that is called with the digest of each request that becomes refused. */
	onRefused: (listener: (digest: string) => void) => void;
};

type Entry = {
	term: number;
	dueAt: number;
	/** The request is accepted again; the entry stays for a while against delayed reports of the refusal. */
	isLifted: boolean;
	changedAt: number;
};

const defaultFirstTermMs = 300_000;
const defaultMaxTermMs = 3_600_000;
const defaultMaxRefusals = 1024;

/** Time for which crashes and completed requests are reported. */
const reportMs = 3000;
/** Time for which a refusal is reported after it was lifted or its term has ended. */
const endedReportMs = 60_000;

/** Limits of one report. */
const maxReportedSuspects = 64;
const maxReportedCompleted = 64;
const maxReportedRefusals = 16;

/** Maximum number of this daemon's own crashes in one report. */
const maxOwnCrashes = 32;

/** Creates an empty quarantine. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
	const {
		name, store, onUpdate: onNews, log, firstTermMs = defaultFirstTermMs, maxTermMs = defaultMaxTermMs,
	} = options;
	const listeners: Array<(digest: string) => void> = [];
	const entries = new LRUCache<string, Entry>({
		max: options.maxRefusals ?? defaultMaxRefusals,
		dispose(entry, digest, reason) {
			if (reason === 'evict') {
				log.warn('Refusal evicted, since there are too many.', {digest, attempt: entry.term});
			}
		},
	});
	const evidence = createCrashEvidence({
		...options.evidence,
		isKnownCause: digest => entries.peek(digest)?.isLifted === false,
	});
	/** Time of completion by digest; `performance.now()`. */
	const completed = new LRUCache<string, number>({max: maxReportedCompleted});
	let ownCrashes: Array<{crash: ObservedCrash; at: number}> = [];

	const termMs = (term: number): number => Math.min(maxTermMs, firstTermMs * (2 ** (term - 1)));

	/** Merges a refusal if it is newer than the known one; returns whether it was. */
	const mergeRefusal = (digest: string, {term, msLeft, isLifted}: Omit<Refusal, 'digest'> & {isLifted: boolean}): boolean => {
		const known = entries.get(digest);
		if (known !== undefined && (known.term > term || (known.term === term && (known.isLifted || !isLifted)))) {
			return false;
		}

		const now = performance.now();
		entries.set(digest, {
			term, dueAt: now + Math.min(msLeft, termMs(term)), isLifted, changedAt: now,
		});
		if (isLifted) {
			evidence.markCompleted(digest);
			return true;
		}

		evidence.attribute(digest);
		for (const listener of listeners) {
			listener(digest);
		}

		return true;
	};

	const logCause = ({digest, crashes: deciding}: CrashCause, term: number): void => {
		log.warn('Request crashes endpoints and is refused.', {
			digest, count: deciding.length, attempt: term, ms: termMs(term),
		});
		for (const {endpoint, ageMs, observers} of deciding) {
			log.warn('Endpoint crashed under a refused request.', {
				digest, endpoint, peer: observers.join(','), ms: Math.round(ageMs),
			});
		}
	};

	const refuse = (cause: CrashCause): void => {
		const {digest} = cause;
		const term = (entries.get(digest)?.term ?? 0) + 1;
		logCause(cause, term);
		mergeRefusal(digest, {term, msLeft: termMs(term), isLifted: false});
		// All daemons reach the same decision; those that observed the request report it to those that missed a crash.
		if (cause.crashes.some(({observers}) => observers.includes(name))) {
			store.save({digest, term, msLeft: termMs(term)});
			onNews();
		}
	};

	const lift = (digest: string, term: number): void => {
		mergeRefusal(digest, {term, msLeft: 0, isLifted: true});
		store.remove(digest);
		onNews();
	};

	const addEvidence = (observer: string, crash: ObservedCrash): void => {
		const {causes, completed: cleared} = evidence.add(observer, crash);
		for (const cause of causes) {
			refuse(cause);
		}

		for (const digest of cleared) {
			completed.set(digest, performance.now());
		}
	};

	const mergePeerRefusal = (peer: string, [digest, term, msLeft, isLifted]: QuarantineReport['refused'][number]): void => {
		if (!mergeRefusal(digest, {term, msLeft, isLifted})) {
			return;
		}

		log.info(isLifted ? 'Peer lifts the refusal of a request.' : 'Peer refuses a request that crashes endpoints.', {
			digest, peer, attempt: term, ms: msLeft,
		});
		if (!isLifted && evidence.completedRecently(digest)) {
			log.info('Refused request completed, so its refusal is lifted.', {digest, attempt: term});
			lift(digest, term);
		}
	};

	const refusalOf: Quarantine['refusalOf'] = key => {
		const entry = entries.get(key);
		if (entry === undefined || entry.isLifted) {
			return undefined;
		}

		return performance.now() < entry.dueAt ? 'refused' : 'due';
	};

	/** Peers would only learn to ignore the other parts. */
	const withSuspectedParts = (suspects: readonly Suspect[]): Suspect[] =>
		suspects.map(suspect => ({...suspect, parts: evidence.suspectedParts(suspect)}));

	const reportCrashes = (now: number): QuarantineReport['crashes'] => {
		ownCrashes = ownCrashes.filter(({at}) => now - at <= reportMs).slice(-maxOwnCrashes);
		const items: QuarantineReport['crashes'] = [];
		let suspects = 0;
		for (const {crash, at} of ownCrashes.toReversed()) {
			suspects += crash.suspects.length;
			if (suspects > maxReportedSuspects) {
				break;
			}

			items.push([crash.endpoint, crash.startedAt, Math.round(now - at), crash.suspects.map(({digest, position, parts}) => [digest, position, [...parts]])]);
		}

		return items;
	};

	const reportRefused = (now: number): QuarantineReport['refused'] => {
		const items: QuarantineReport['refused'] = [];
		for (const [digest, {term, dueAt, isLifted, changedAt}] of entries.entries()) {
			// Daemons that start later read refusals from the store.
			if (now - (isLifted ? changedAt : dueAt) > endedReportMs) {
				continue;
			}

			items.push([digest, term, Math.max(0, Math.round(dueAt - now)), isLifted]);
			if (items.length === maxReportedRefusals) {
				break;
			}
		}

		return items;
	};

	return {
		standingOf: digest => refusalOf(digest) ?? (evidence.countCrashes(digest) > 0 ? 'suspect' : 'clear'),
		refusalOf,
		async claim(digest) {
			const term = (entries.get(digest)?.term ?? 0) + 1;
			const refusal: Refusal = {digest, term, msLeft: termMs(term)};
			const isGranted = await store.claim(refusal);
			if (isGranted) {
				mergeRefusal(digest, {...refusal, isLifted: false});
				log.info('Refused request is sent once.', {digest, attempt: term});
				onNews();
			}

			return isGranted;
		},
		recordCrash(crash) {
			ownCrashes.push({crash: {...crash, suspects: withSuspectedParts(crash.suspects)}, at: performance.now() - crash.ageMs});
			log.warn('Endpoint crashed.', {
				endpoint: crash.endpoint, count: crash.suspects.length, unbegun: crash.suspects.filter(({position}) => position === '').length, ms: Math.round(crash.ageMs),
			});
			addEvidence(name, crash);
			onNews();
		},
		markCompleted(digest) {
			const counted = evidence.markCompleted(digest);
			const entry = entries.get(digest);
			if (entry !== undefined && !entry.isLifted) {
				log.info('Refused request completed, so its refusal is lifted.', {digest, attempt: entry.term});
				lift(digest, entry.term);
			} else if (counted > 0) {
				completed.set(digest, performance.now());
			}

			// Peers would refuse it after one more crash; otherwise the regular rounds of reports suffice.
			if (counted > 1) {
				onNews();
			}
		},
		applyPeerReport(peer, report) {
			for (const digest of report.completed) {
				evidence.markCompleted(digest);
			}

			for (const item of report.refused) {
				mergePeerRefusal(peer, item);
			}

			for (const [endpoint, startedAt, ageMs, suspects] of report.crashes) {
				addEvidence(peer, {
					endpoint, startedAt, ageMs, suspects: suspects.map(([digest, position, parts]) => ({digest, position, parts})),
				});
			}
		},
		current() {
			const refusals: Refusal[] = [];
			for (const [digest, {term, dueAt, isLifted}] of entries.entries()) {
				const msLeft = dueAt - performance.now();
				if (msLeft > 0 && !isLifted) {
					refusals.push({digest, term, msLeft});
				}
			}

			return refusals;
		},
		restore(refusals) {
			for (const {digest, term, msLeft} of refusals) {
				if (mergeRefusal(digest, {term, msLeft, isLifted: false})) {
					log.info('Refusal restored from the store.', {digest, attempt: term, ms: Math.round(msLeft)});
				}
			}
		},
		report() {
			const now = performance.now();
			const recent: string[] = [];
			for (const [digest, at] of completed.entries()) {
				if (now - at <= reportMs) {
					recent.push(digest);
				}
			}

			return {crashes: reportCrashes(now), completed: recent, refused: reportRefused(now)};
		},
		onRefused(listener) {
			listeners.push(listener);
		},
	};
}
