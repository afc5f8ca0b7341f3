/**
 * Determines which request caused crashes of endpoints.
 *
 * Each request that was in flight at a crash is a suspect. A cause is in flight at repeated
 * crashes and never gets past the position of its earlier ones, while the other requests on the
 * endpoints change. Once a cause is found, its crashes count against other requests only together
 * with a further crash that it doesn't explain.
 */
import {LRUCache} from 'lru-cache';

/** A request that was in flight on an endpoint when it crashed. */
export type Suspect = {
	digest: string;
	/** Id of the last stream event that the caller received; empty if there is none. */
	position: string;
};

/** Crash of one process of an endpoint, as one daemon observed it. */
export type ObservedCrash = {
	endpoint: string;
	/** Start of the process in Unix milliseconds; distinguishes processes with the same id. */
	startedAt: number;
	/** Milliseconds since the crash. */
	ageMs: number;
	suspects: readonly Suspect[];
};

/** A crash that counts against a request. */
export type CountedCrash = {
	endpoint: string;
	/** Milliseconds since the crash. */
	ageMs: number;
	/** Daemons that observed the request there. */
	observers: readonly string[];
};

/** A request that was found to crash endpoints, with the crashes that count against it. */
export type CrashCause = {digest: string; crashes: readonly CountedCrash[]};

/** Options of {@link createCrashEvidence}. */
export type CrashEvidenceOptions = {
	/** Whether a request is already refused; crashes at which it was in flight count against no other. */
	isKnownCause?: (digest: string) => boolean;
	/** Number of crashes after which a request counts as their cause. Default 3. */
	crashThreshold?: number;
	/** Age in milliseconds beyond which a crash no longer counts. Default 600,000. */
	maxAgeMs?: number;
	/** Maximum number of stored crashes; the oldest are evicted first. Default 256. */
	maxCrashes?: number;
	/** Maximum number of stored suspects per crash; further ones are ignored. Default 128. */
	maxSuspects?: number;
	/** Milliseconds for which a completed request is no suspect. Default 60,000. */
	completedMs?: number;
	/** Maximum number of stored completed requests; the oldest are evicted first. Default 4,096. */
	maxCompleted?: number;
};

/** Result of an observation. */
export type EvidenceChange = {
	/** Suspects found to be causes of crashes. */
	causes: readonly CrashCause[];
	/** Suspects that are ignored since they completed recently. */
	completed: readonly string[];
};

/** Observed crashes and their suspects. */
export type CrashEvidence = {
	/** Adds a daemon's observation; observations of the same crash are merged. */
	add: (observer: string, crash: ObservedCrash) => EvidenceChange;
	/** Clears a request that completed, so it doesn't crash endpoints. Returns the number of crashes that counted against it. */
	markCompleted: (digest: string) => number;
	/** Whether the request completed recently. */
	completedRecently: (digest: string) => boolean;
	/** Number of crashes that count against a request. */
	countCrashes: (digest: string) => number;
	/** Attributes crashes to a request that another daemon found to be their cause. */
	attribute: (digest: string) => void;
};

type Crash = {
	endpoint: string;
	at: number;
	/** By digest. */
	suspects: Map<string, {position: string; observers: Set<string>}>;
	/** Digest of the request that caused it, once found. */
	cause: string | undefined;
};

const defaultMaxAgeMs = 600_000;
const defaultMaxCrashes = 256;
const defaultMaxSuspects = 128;
const defaultCompletedMs = 60_000;
const defaultMaxCompleted = 4096;

/** Crashes closer together than this have a common cause outside the endpoints and count once. */
const commonCauseMs = 50;

/** Returns one crash of each group that happened at the same moment. */
function withoutCommonCause(crashes: readonly Crash[]): Crash[] {
	const distinct: Crash[] = [];
	for (const crash of crashes.toSorted((a, b) => a.at - b.at)) {
		if (distinct.length === 0 || crash.at - distinct.at(-1)!.at > commonCauseMs) {
			distinct.push(crash);
		}
	}

	return distinct;
}

/** Creates empty evidence. */
export function createCrashEvidence(options: CrashEvidenceOptions = {}): CrashEvidence {
	const {
		isKnownCause = () => false, crashThreshold = 3, maxAgeMs = defaultMaxAgeMs, maxSuspects = defaultMaxSuspects, completedMs = defaultCompletedMs,
	} = options;
	const crashes = new LRUCache<string, Crash>({max: options.maxCrashes ?? defaultMaxCrashes});
	const completed = new LRUCache<string, number>({max: options.maxCompleted ?? defaultMaxCompleted});

	const completedRecently = (digest: string): boolean => {
		const at = completed.get(digest);
		return at !== undefined && performance.now() - at <= completedMs;
	};

	/** Crashes that count against a request: those at the position where most of them occurred. */
	const crashesAgainst = (digest: string): Crash[] => {
		const now = performance.now();
		const byPosition = new Map<string, Crash[]>();
		for (const crash of crashes.values()) {
			const suspect = crash.suspects.get(digest);
			if (suspect === undefined || now - crash.at > maxAgeMs) {
				continue;
			}

			byPosition.set(suspect.position, [...byPosition.get(suspect.position) ?? [], crash]);
		}

		let most: Crash[] = [];
		for (const found of byPosition.values()) {
			const distinct = withoutCommonCause(found);
			// If endpoints keep crashing after a cause is refused, its crashes may have had another cause.
			const isUnexplained = distinct.some(({cause}) => cause === undefined);
			if (isUnexplained && distinct.length > most.length) {
				most = distinct;
			}
		}

		return most;
	};

	const attribute = (digest: string): void => {
		for (const crash of crashes.values()) {
			if (crash.suspects.has(digest)) {
				crash.cause ??= digest;
			}
		}
	};

	/** Requests with the most crashes, if these reach the threshold. */
	const findLikeliest = (digests: readonly string[]): Array<{digest: string; counting: Crash[]}> => {
		let most = crashThreshold;
		let likeliest: Array<{digest: string; counting: Crash[]}> = [];
		for (const digest of digests) {
			const counting = crashesAgainst(digest);
			if (counting.length > most) {
				most = counting.length;
				likeliest = [];
			}

			if (counting.length === most) {
				likeliest.push({digest, counting});
			}
		}

		return likeliest;
	};

	const describe = (digest: string, counting: readonly Crash[]): CrashCause => ({
		digest,
		crashes: counting.map(crash => ({
			endpoint: crash.endpoint,
			ageMs: performance.now() - crash.at,
			observers: [...crash.suspects.get(digest)!.observers],
		})),
	});

	/** Starts with the likeliest cause, since its crashes alone don't count against other requests. */
	const findCauses = (digests: readonly string[]): CrashCause[] => {
		const causes: CrashCause[] = [];
		for (;;) {
			const likeliest = findLikeliest(digests);
			if (likeliest.length === 0) {
				return causes;
			}

			causes.push(...likeliest.map(({digest, counting}) => describe(digest, counting)));
			for (const {digest} of likeliest) {
				attribute(digest);
			}
		}
	};

	const isCause = (digest: string): boolean => {
		for (const {cause} of crashes.values()) {
			if (cause === digest) {
				return true;
			}
		}

		return isKnownCause(digest);
	};

	const addSuspect = (crash: Crash, observer: string, {digest, position}: Suspect): void => {
		const {suspects} = crash;
		if (isCause(digest)) {
			crash.cause ??= digest;
		}

		const known = suspects.get(digest);
		if (known !== undefined) {
			known.observers.add(observer);
		} else if (suspects.size < maxSuspects) {
			suspects.set(digest, {position, observers: new Set([observer])});
		}
	};

	return {
		add(observer, {endpoint, startedAt, ageMs, suspects}) {
			const key = `${endpoint} ${startedAt}`;
			const crash: Crash = crashes.get(key) ?? {
				endpoint, at: performance.now() - ageMs, suspects: new Map(), cause: undefined,
			};
			crashes.set(key, crash);
			const added: string[] = [];
			const alreadyCompleted: string[] = [];
			for (const suspect of suspects) {
				if (completedRecently(suspect.digest)) {
					alreadyCompleted.push(suspect.digest);
				} else {
					addSuspect(crash, observer, suspect);
					added.push(suspect.digest);
				}
			}

			return {causes: findCauses(added), completed: alreadyCompleted};
		},
		markCompleted(digest) {
			completed.set(digest, performance.now());
			const counted = crashesAgainst(digest).length;
			for (const crash of crashes.values()) {
				crash.suspects.delete(digest);
				if (crash.cause === digest) {
					crash.cause = undefined;
				}
			}

			return counted;
		},
		completedRecently,
		countCrashes: digest => crashesAgainst(digest).length,
		attribute,
	};
}
