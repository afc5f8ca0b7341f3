/**
 * Tracks over which network paths this daemon reaches endpoints, one path for each endpoint.
 *
 * A path is lost when a connection can't be established, or when an endpoint that owes a response
 * is silent and accepts no new connection. A lost path is checked by connections that carry no
 * request, so that no caller pays for finding out whether it works again.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type Log} from '../observability/log.js';
import {type ConnectionState} from './connection-check.js';

/** Options of {@link createEndpointPaths}. */
export type EndpointPathsOptions = {
	checkConnection: (address: string) => Promise<ConnectionState>;
	/** Called when a path is lost; open connections to this address may hang. */
	onLost: (endpoint: LiveEndpoint) => void;
	/** Returns a number in [0, 1). */
	random: () => number;
	log: Log;
};

/** A request that was sent over a path. */
export type WatchedRequest = {
	/** Records that bytes of the response arrived. */
	heard: () => void;
	ended: () => void;
};

/** Paths of this daemon. */
export type EndpointPaths = {
	/** Whether the path is lost; also starts a check whether it works again, if one is due. */
	isLost: (endpoint: LiveEndpoint) => boolean;
	/** Whether neither this daemon nor the peers that it asked reached the endpoint a moment ago. */
	isUnreachable: (endpoint: LiveEndpoint) => boolean;
	/** Whether the path is lost, but peers have passed on requests to the endpoint since. */
	isReachedByPeers: (endpoint: LiveEndpoint) => boolean;
	/** Expected extra milliseconds to the endpoint; 0 unless the path is lost. */
	detourMs: (endpoint: LiveEndpoint) => number;
	/** Whether another endpoint went silent since this one last responded, so that an open connection to it may hang. */
	isUnproven: (endpoint: LiveEndpoint) => boolean;
	/** Checks the path of an endpoint that didn't respond. */
	suspect: (endpoint: LiveEndpoint) => void;
	/** No connection to the endpoint could be established. */
	connectFailed: (endpoint: LiveEndpoint) => void;
	/** A peer passed on a request to the endpoint. */
	passedOn: (endpoint: LiveEndpoint) => void;
	/** No peer could pass on a request to the endpoint. */
	passingOnFailed: (endpoint: LiveEndpoint) => void;
	/** Watches a request that was sent over the path; `onPathLost` is called at most once. */
	watch: (endpoint: LiveEndpoint, onPathLost?: () => void) => WatchedRequest;
	/** Number of lost paths. */
	lostCount: () => number;
	/** Drops the state of an endpoint that is no longer listed. */
	forget: (id: string) => void;
};

type Path = {
	endpoint: LiveEndpoint;
	/** `undefined` while the path works. */
	lostAt: number | undefined;
	/** When the next check is due. */
	checkAt: number;
	/** Pause after the next failed check. */
	checkPauseMs: number;
	isChecking: boolean;
	/** When the endpoint last accepted a connection although it was silent. */
	acceptedAt: number;
	heardAt: number;
	passedOnAt: number;
	unreachableUntil: number;
	/** Length of the next such time. */
	unreachableMs: number;
};

type OpenRequest = {endpoint: LiveEndpoint; heardAt: number; onPathLost: (() => void) | undefined};

/** Pause in milliseconds between a loss and the first check; doubles with each failed one. */
const firstCheckPauseMs = 200;
const maxCheckPauseMs = 4000;

/** Upper bound of the random part of a pause until a check, as a fraction of it. */
const checkSpreadRatio = 0.25;

/** Within this time in milliseconds all other lost paths are checked after one of them works again. */
const recheckSpreadMs = 200;

/** Number of checks of lost paths at the same time. */
const maxChecks = 4;

/** Shortest interval in milliseconds of looking for silent endpoints, while requests are open. */
const minSweepMs = 150;

/** Silence in milliseconds after which an endpoint that owes a response is checked. */
const silenceMs = 250;

/** Interval in milliseconds between such checks of one endpoint, and of any while all paths work; bounds what an overload costs. */
const silenceCheckIntervalMs = 1000;

/** Other endpoints that are checked when one went silent, the latest heard first. */
const otherChecks = 4;

/** Time in milliseconds after an endpoint went silent for which other paths are in doubt. */
const doubtMs = 5000;

/** Time in milliseconds for which an endpoint that no peer could reach isn't tried; doubles with each further failure. */
const firstUnreachableMs = 500;
const maxUnreachableMs = 4000;

/** Expected delay in milliseconds of a request that a peer passes on. */
const relayMs = 8;

/** The same while it isn't known whether peers reach the endpoint. */
const unknownRelayMs = 40;

const never = Number.NEGATIVE_INFINITY;

/** Creates the record; all paths are presumed to work. */
export function createEndpointPaths({checkConnection, onLost, random, log}: EndpointPathsOptions): EndpointPaths {
	const paths = new Map<string, Path>();
	const openRequests = new Set<OpenRequest>();
	let sweepTimer: NodeJS.Timeout | undefined;
	let checks = 0;
	let silenceCheckedAt = never;
	let lastSilenceAt = never;

	const pathOf = (endpoint: LiveEndpoint): Path => {
		const known = paths.get(endpoint.id);
		if (known?.endpoint.startedAt === endpoint.startedAt) {
			return known;
		}

		const path: Path = {
			endpoint, lostAt: undefined, checkAt: never, checkPauseMs: firstCheckPauseMs, isChecking: false,
			acceptedAt: never, heardAt: never, passedOnAt: never, unreachableUntil: never, unreachableMs: firstUnreachableMs,
		};
		paths.set(endpoint.id, path);
		return path;
	};

	const lostPath = ({id, startedAt}: LiveEndpoint): Path & {lostAt: number} | undefined => {
		const path = paths.get(id);
		return path?.endpoint.startedAt === startedAt && path.lostAt !== undefined ? path as Path & {lostAt: number} : undefined;
	};

	const postponeCheck = (path: Path): void => {
		path.checkAt = performance.now() + (path.checkPauseMs * (1 + (checkSpreadRatio * random())));
		path.checkPauseMs = Math.min(maxCheckPauseMs, path.checkPauseMs * 2);
	};

	const notifyOpenRequests = (endpoint: LiveEndpoint): void => {
		for (const open of openRequests) {
			if (open.endpoint.id === endpoint.id && performance.now() - open.heardAt >= silenceMs) {
				const {onPathLost} = open;
				open.onPathLost = undefined;
				onPathLost?.();
			}
		}
	};

	const lose = (endpoint: LiveEndpoint, reason: string): void => {
		const path = pathOf(endpoint);
		if (path.lostAt !== undefined) {
			return;
		}

		const now = performance.now();
		path.lostAt = now;
		if (reason === 'silent') {
			lastSilenceAt = now;
		}

		postponeCheck(path);
		log.info('Path to an endpoint was lost.', {
			endpoint: endpoint.id, service: endpoint.service, reason, ms: path.heardAt === never ? undefined : Math.round(now - path.heardAt),
		});
		onLost(endpoint);
		notifyOpenRequests(endpoint);
		if (reason === 'silent') {
			checkOthers();
		}
	};

	/** Other paths that were lost may work again too. */
	const restore = (endpoint: LiveEndpoint, path: Path & {lostAt: number}): void => {
		const now = performance.now();
		log.info('Path to an endpoint works again.', {endpoint: endpoint.id, service: endpoint.service, ms: Math.round(now - path.lostAt)});
		paths.delete(endpoint.id);
		for (const other of paths.values()) {
			if (other.lostAt !== undefined) {
				other.checkAt = Math.min(other.checkAt, now + (recheckSpreadMs * random()));
			}
		}
	};

	const checkLost = async (endpoint: LiveEndpoint, path: Path & {lostAt: number}): Promise<void> => {
		path.isChecking = true;
		checks++;
		let state: ConnectionState;
		try {
			state = await checkConnection(endpoint.address);
		} finally {
			checks--;
			path.isChecking = false;
		}

		if (paths.get(endpoint.id) !== path) {
			return;
		}

		if (state === 'accepted') {
			restore(endpoint, path);
			return;
		}

		if (state === 'silent') {
			lastSilenceAt = Math.max(lastSilenceAt, path.lostAt);
		}

		postponeCheck(path);
	};

	const checkSilent = async (endpoint: LiveEndpoint): Promise<void> => {
		const path = pathOf(endpoint);
		silenceCheckedAt = performance.now();
		path.isChecking = true;
		let state: ConnectionState;
		try {
			state = await checkConnection(endpoint.address);
		} finally {
			path.isChecking = false;
		}

		if (state === 'accepted') {
			path.acceptedAt = performance.now();
		} else if (paths.get(endpoint.id) === path) {
			lose(endpoint, state);
		}
	};

	/** Checks further endpoints, so that a partition is found at once while a lone failure costs few connections. */
	const checkOthers = (): void => {
		const inDoubt = [...paths.values()].filter(({lostAt, isChecking, heardAt}) => lostAt === undefined && !isChecking && heardAt < lastSilenceAt);
		for (const {endpoint} of inDoubt.toSorted((a, b) => b.heardAt - a.heardAt).slice(0, otherChecks)) {
			void checkSilent(endpoint);
		}
	};

	const isInDoubt = (): boolean => performance.now() - lastSilenceAt < doubtMs;

	const isReachedByPeers = (endpoint: LiveEndpoint): boolean => {
		const path = lostPath(endpoint);
		return path !== undefined && path.passedOnAt >= path.lostAt;
	};

	/** Whether a silent endpoint is to be checked. */
	const isCheckDue = ({heardAt, acceptedAt}: Path): boolean => {
		const now = performance.now();
		return now - heardAt >= silenceMs
			&& now - acceptedAt >= silenceCheckIntervalMs
			&& (isInDoubt() || now - silenceCheckedAt >= silenceCheckIntervalMs);
	};

	const sweep = (): void => {
		try {
			checkOpenRequests();
		} finally {
			scheduleSweep();
		}
	};

	const checkOpenRequests = (): void => {
		const now = performance.now();
		const silent = new Map<string, LiveEndpoint>();
		for (const {endpoint, heardAt} of openRequests) {
			if (now - heardAt >= silenceMs && !pathOf(endpoint).isChecking) {
				silent.set(endpoint.id, endpoint);
			}
		}

		for (const endpoint of silent.values()) {
			if (lostPath(endpoint) !== undefined) {
				notifyOpenRequests(endpoint);
			} else if (isCheckDue(pathOf(endpoint))) {
				void checkSilent(endpoint);
			}
		}
	};

	/** Sweeps when the first open request could be silent, since each sweep wakes the process. */
	const scheduleSweep = (): void => {
		sweepTimer = undefined;
		let silentFrom = Number.POSITIVE_INFINITY;
		for (const {heardAt} of openRequests) {
			silentFrom = Math.min(silentFrom, heardAt + silenceMs);
		}

		if (silentFrom !== Number.POSITIVE_INFINITY) {
			sweepTimer = setTimeout(sweep, Math.max(minSweepMs, silentFrom - performance.now())).unref();
		}
	};

	return {
		isLost(endpoint) {
			const path = lostPath(endpoint);
			if (path === undefined) {
				return false;
			}

			if (!path.isChecking && checks < maxChecks && performance.now() >= path.checkAt) {
				void checkLost(endpoint, path);
			}

			return true;
		},
		isUnreachable(endpoint) {
			const path = lostPath(endpoint);
			return path !== undefined && performance.now() < path.unreachableUntil;
		},
		isReachedByPeers,
		detourMs(endpoint) {
			if (lostPath(endpoint) === undefined) {
				return 0;
			}

			return isReachedByPeers(endpoint) ? relayMs : unknownRelayMs;
		},
		isUnproven: endpoint => isInDoubt() && pathOf(endpoint).heardAt < lastSilenceAt,
		suspect(endpoint) {
			if (lostPath(endpoint) === undefined && !pathOf(endpoint).isChecking) {
				void checkSilent(endpoint);
			}
		},
		connectFailed(endpoint) {
			lose(endpoint, 'connect_failed');
		},
		passedOn(endpoint) {
			const path = pathOf(endpoint);
			path.passedOnAt = performance.now();
			path.unreachableUntil = never;
			path.unreachableMs = firstUnreachableMs;
		},
		passingOnFailed(endpoint) {
			const path = pathOf(endpoint);
			path.unreachableUntil = performance.now() + path.unreachableMs;
			path.unreachableMs = Math.min(maxUnreachableMs, path.unreachableMs * 2);
		},
		watch(endpoint, onPathLost) {
			const open: OpenRequest = {endpoint, heardAt: performance.now(), onPathLost};
			openRequests.add(open);
			if (sweepTimer === undefined) {
				scheduleSweep();
			}

			return {
				heard() {
					open.heardAt = performance.now();
					pathOf(endpoint).heardAt = open.heardAt;
				},
				ended() {
					openRequests.delete(open);
				},
			};
		},
		lostCount() {
			let count = 0;
			for (const {lostAt} of paths.values()) {
				count += lostAt === undefined ? 0 : 1;
			}

			return count;
		},
		forget(id) {
			paths.delete(id);
		},
	};
}
