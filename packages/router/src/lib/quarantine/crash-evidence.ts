/**
 * Determines which request, or which part that prompts share, caused crashes of endpoints.
 *
 * Each request that was in flight at a crash is a suspect. A cause is in flight at repeated
 * crashes and never gets past the position of its earlier ones, while the other requests on the
 * endpoints change. Once a cause is found, its crashes count against other requests only together
 * with a further crash that it doesn't explain.
 *
 * A part is a suspect with each different request whose answer had no event. Parts that sound
 * requests share are cleared whenever one of these completes.
 */
import {LRUCache} from 'lru-cache';
import {isPartKey} from './prompt-part-keys.js';

/** A request that was in flight on an endpoint when it crashed. */
export type Suspect = {
	digest: string;
	/** Id of the last stream event that the caller received; empty if there is none. */
	position: string;
	/** Keys of its prompt's parts that other requests may share. */
	parts: readonly string[];
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

/** A request or part that was found to crash endpoints, by its digest or key, with the crashes that count against it. */
export type CrashCause = {digest: string; crashes: readonly CountedCrash[]};

/** Options of {@link createCrashEvidence}. */
export type CrashEvidenceOptions = {
	/** Whether a request or part is already refused; crashes at which it was in flight count against no other. */
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
	/** Maximum number of stored completed requests, and of their parts; the oldest are evicted first. Default 4,096. */
	maxCompleted?: number;
};

/** Result of an observation. */
export type EvidenceChange = {
	/** Suspects found to be causes of crashes. */
	causes: readonly CrashCause[];
	/** Suspects, and parts of suspects, that are ignored since they completed recently. */
	completed: readonly string[];
};

/** Observed crashes and their suspects. */
export type CrashEvidence = {
	/** Adds a daemon's observation; observations of the same crash are merged. */
	add: (observer: string, crash: ObservedCrash) => EvidenceChange;
	/** Clears a request that completed, or a part of it, so it doesn't crash endpoints. Returns the number of crashes that counted against it. */
	markCompleted: (digest: string) => number;
	/** Those of a suspect's parts that may have crashed the endpoint: none if it had an event, and none that completed recently. */
	suspectedParts: (suspect: Suspect) => string[];
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
	/** By key: digests of the requests without an event that have the part, and the daemons that observed these. */
	parts: Map<string, {requests: Set<string>; observers: Set<string>}>;
	/** Digest of the request that caused it, once found. */
	cause: string | undefined;
};

const defaultMaxAgeMs = 600_000;
const defaultMaxCrashes = 256;
const defaultMaxSuspects = 128;
const defaultCompletedMs = 60_000;
const defaultMaxCompleted = 4096;

/** Stored suspected parts for each stored suspect. */
const maxPartsPerSuspect = 4;

/** Number of different requests that must have been in flight with a part; with one alone, that request is the cause. */
const minRequestsOfPart = 2;

/** Number of crashes after which parts are refused that no crash tells apart, since sound requests haven't cleared one of them. */
const tieThreshold = 5;

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

type Likely = {digest: string; counting: readonly Crash[]};

/** Creates empty evidence. */
export function createCrashEvidence(options: CrashEvidenceOptions = {}): CrashEvidence {
	const {
		isKnownCause = () => false, crashThreshold = 3, maxAgeMs = defaultMaxAgeMs, maxSuspects = defaultMaxSuspects, completedMs = defaultCompletedMs,
	} = options;
	const crashes = new LRUCache<string, Crash>({max: options.maxCrashes ?? defaultMaxCrashes});
	const createCompleted = () => new LRUCache<string, number>({max: options.maxCompleted ?? defaultMaxCompleted});
	/** Apart, since requests are many and would displace the parts. */
	const completed = {requests: createCompleted(), parts: createCompleted()};

	const completedLike = (digest: string): LRUCache<string, number> => isPartKey(digest) ? completed.parts : completed.requests;

	const completedRecently = (digest: string): boolean => {
		const at = completedLike(digest).get(digest);
		return at !== undefined && performance.now() - at <= completedMs;
	};

	const recentCrashes = (): Crash[] => {
		const now = performance.now();
		return [...crashes.values()].filter(({at}) => now - at <= maxAgeMs);
	};

	/** If endpoints keep crashing after a cause is refused, its crashes may have had another cause. */
	const isUnexplained = (counting: readonly Crash[]): boolean => counting.some(({cause}) => cause === undefined);

	/** Crashes that count against a part: all at which requests without an event had it, if these were different ones. */
	const crashesAgainstPart = (key: string): Crash[] => {
		const found = recentCrashes().filter(({parts}) => parts.has(key));
		const requests = new Set(found.flatMap(({parts}) => [...parts.get(key)!.requests]));
		const distinct = withoutCommonCause(found);
		return requests.size >= minRequestsOfPart && isUnexplained(distinct) ? distinct : [];
	};

	/** Crashes that count against a request: those at the position where most of them occurred. */
	const crashesAgainstRequest = (digest: string): Crash[] => {
		const byPosition = new Map<string, Crash[]>();
		for (const crash of recentCrashes()) {
			const suspect = crash.suspects.get(digest);
			if (suspect === undefined) {
				continue;
			}

			byPosition.set(suspect.position, [...byPosition.get(suspect.position) ?? [], crash]);
		}

		let most: Crash[] = [];
		for (const found of byPosition.values()) {
			const distinct = withoutCommonCause(found);
			if (isUnexplained(distinct) && distinct.length > most.length) {
				most = distinct;
			}
		}

		return most;
	};

	const crashesAgainst = (digest: string): Crash[] => isPartKey(digest) ? crashesAgainstPart(digest) : crashesAgainstRequest(digest);

	const attribute = (digest: string): void => {
		for (const crash of crashes.values()) {
			if (crash.suspects.has(digest) || crash.parts.has(digest)) {
				crash.cause ??= digest;
			}
		}
	};

	/** Parts that were in flight at the same crashes are left out: sound requests soon clear those that aren't the cause. */
	const withoutTiedParts = (likeliest: readonly Likely[]): readonly Likely[] => {
		const parts = likeliest.filter(({digest}) => isPartKey(digest));
		return parts.length > 1 && parts[0].counting.length < tieThreshold ? likeliest.filter(({digest}) => !isPartKey(digest)) : likeliest;
	};

	/** Requests and parts with the most crashes, if these reach the threshold. */
	const findLikeliest = (digests: readonly string[]): readonly Likely[] => {
		let most = crashThreshold;
		let likeliest: Likely[] = [];
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

		return withoutTiedParts(likeliest);
	};

	const describe = (digest: string, counting: readonly Crash[]): CrashCause => ({
		digest,
		crashes: counting.map(crash => ({
			endpoint: crash.endpoint,
			ageMs: performance.now() - crash.at,
			observers: [...(crash.parts.get(digest) ?? crash.suspects.get(digest))!.observers],
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

	const suspectedParts = ({position, parts}: Suspect): string[] => position === '' ? parts.filter(key => !completedRecently(key)) : [];

	/** Returns the parts that were added. */
	const addParts = (crash: Crash, observer: string, suspect: Suspect): string[] => {
		const {digest} = suspect;
		const added = suspectedParts(suspect);
		for (const key of added) {
			if (isCause(key)) {
				crash.cause ??= key;
			}

			const known = crash.parts.get(key);
			if (known !== undefined) {
				known.requests.add(digest);
				known.observers.add(observer);
			} else if (crash.parts.size < maxSuspects * maxPartsPerSuspect) {
				crash.parts.set(key, {requests: new Set([digest]), observers: new Set([observer])});
			}
		}

		return added;
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
				endpoint, at: performance.now() - ageMs, suspects: new Map(), parts: new Map(), cause: undefined,
			};
			crashes.set(key, crash);
			const added: string[] = [];
			const alreadyCompleted: string[] = [];
			for (const suspect of suspects) {
				if (completedRecently(suspect.digest)) {
					alreadyCompleted.push(suspect.digest);
					continue;
				}

				addSuspect(crash, observer, suspect);
				added.push(suspect.digest, ...addParts(crash, observer, suspect));
				alreadyCompleted.push(...suspect.parts.filter(key => suspect.position === '' && completedRecently(key)));
			}

			return {causes: findCauses([...new Set(added)]), completed: alreadyCompleted};
		},
		markCompleted(digest) {
			completedLike(digest).set(digest, performance.now());
			if (crashes.size === 0) {
				return 0;
			}

			const counted = crashesAgainst(digest).length;
			for (const crash of crashes.values()) {
				crash.suspects.delete(digest);
				crash.parts.delete(digest);
				if (crash.cause === digest) {
					crash.cause = undefined;
				}
			}

			return counted;
		},
		suspectedParts,
		completedRecently,
		countCrashes: digest => crashesAgainst(digest).length,
		attribute,
	};
}
