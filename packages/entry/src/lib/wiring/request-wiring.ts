/** Wires the request path: quotas, endpoint choice, logs and metrics. */
import {type Admission, createAdmission} from 'hickorywalk/admission.js';
import {type ForwardingEvents} from 'hickorywalk/forwarding.js';
import {
	type BrittleEndpoints, type CapacityWait, type ConnectionShares, createBrittleEndpoints, createCapacityWait,
	createConnectionShares, createEndpointBackoff, createEndpointChoice, createEndpointLimits, type EndpointBackoff, type EndpointLimits,
} from 'hickorywalk/placing.js';
import {createFleetQuota, type FleetQuota} from 'hickorywalk/quotas.js';
import {maxLagMs} from 'hickorywalk/time.js';
import {type EntryParts} from './parts.js';

/** Fraction of the tolerated excess over a quota with which a restarted fleet starts. */
const initialExcessRatio = 0.5;

/** Refresh intervals without a report after which a peer's spending is assumed. */
const refreshesUntilSilent = 2;

/** Prompt parts in one log line. */
const maxLoggedParts = 8;

/** Creates the fleet-wide quota. */
export function wireQuota(parts: EntryParts): FleetQuota {
	const {settings, timings} = parts;
	// Shorter than for other uses of the reports, since a disconnected peer keeps spending quota.
	const silenceMs = (): number => Math.max(timings.minPeerSilenceMs, parts.peers.refreshMs() * refreshesUntilSilent);
	return createFleetQuota({
		startsFull: settings.isFirstStart,
		onUnreported() {
			parts.peers.sendRoundEarly();
		},
		reportDelayMs: () => timings.reportEveryMs,
		isBeyondRound: () => parts.peers.peersBeyondRound() > 0,
		onAnnouncement(users) {
			parts.peers.sendSoonTo(users);
		},
		startUnits: settings.quota.extraUnits * initialExcessRatio,
		daemons: () => parts.fleetSize.daemons(),
		unheard: () => parts.fleetSize.unheardCount(),
		silenceMs,
		goneMs: () => silenceMs() + timings.minPeerGoneMs - timings.minPeerSilenceMs,
	});
}

/** Creates the limits of endpoints. */
export function wireLimits(parts: EntryParts): EndpointLimits {
	const {settings, peers, view, log} = parts;
	return createEndpointLimits({
		name: settings.name,
		peers: () => [...new Set([...peers.live().map(({report}) => report.daemon), ...parts.fleetSize.unheard()])],
		isListed: (id, startedAt) => view.endpoint(id)?.startedAt === startedAt,
		onUpdate() {
			peers.sendSoonTo('all');
		},
		log,
	});
}

/** Creates the protection of brittle endpoints. */
export function wireBrittle(parts: EntryParts): BrittleEndpoints {
	const {peers, log} = parts;
	return createBrittleEndpoints({
		onUpdate() {
			peers.sendSoonTo('all');
		},
		gatekeepers: () => 1 + parts.fleetSize.unheardCount(),
		log,
	});
}

/** Creates the record of the pauses that endpoints ask for. */
export const wireBackoff = ({log}: EntryParts): EndpointBackoff => createEndpointBackoff({random: Math.random, log});

/** Creates the estimate of when a service accepts requests again. */
export const wireCapacityWait = ({
	view, presence, backoff, brittle, limits,
}: EntryParts): CapacityWait => createCapacityWait({
	view, presence, backoff, brittle, limits, random: Math.random,
});

/** Creates the division of endpoints' connections between the daemons. */
export const wireConnectionShares = ({peers, loadTracker, view}: EntryParts): ConnectionShares => createConnectionShares({
	daemons: () => peers.fleetSize(),
	peersRunning: loadTracker.peersRunning,
	refreshMs: () => peers.refreshMs(),
	limitOf: ({service}) => view.maxConnections(service),
});

/** Creates the endpoint choice. */
export function wireChoice(parts: EntryParts) {
	const {view, loadTracker, health, presence, versions, weightsDeadlines, limits, backoff, brittle, paths, releases, storedParts, residentParts, peers, settings, connectionShares} = parts;
	return createEndpointChoice({
		view, loadTracker, health, presence, versions, weightsDeadlines, limits, backoff, brittle, paths, releases, storedParts, residentParts,
		dataCentre: settings.dataCentre, connectionShare: connectionShares.shareOf,
		// Peers within one report round learn of large prompts at once, so only the others may choose the same endpoint.
		daemons: () => 1 + peers.peersBeyondRound(), random: Math.random,
	});
}

/** Creates the admission of requests. */
export const wireAdmission = ({
	view, loadTracker, health, presence, versions, weightsDeadlines, limits, backoff, brittle, paths, releases, choice, log,
}: EntryParts): Admission => createAdmission({
	view, loadTracker, health, presence, versions, weightsDeadlines, limits, backoff, brittle, paths, releases, choose: choice.choose, random: Math.random, log,
});

/** Logs requests and records their metrics. */
export function wireEvents({
	view, versions, log, metrics, logLineBudget,
}: EntryParts): ForwardingEvents {
	const isChanging = (id: string): boolean => {
		const endpoint = view.endpoint(id);
		return endpoint !== undefined && [...endpoint.weights.keys()].some(model => versions.of(endpoint, model).isChanging);
	};

	return {
		ended(end) {
			metrics.requestEnded(end);
			if (!logLineBudget.take(end.reason)) {
				return;
			}

			const {
				requestId, digest, workspace, service, endpoint, software, resumes, peer, status, reason,
			} = end;
			log.info('Request ended.', {
				requestId, digest, workspace, service, endpoint, software: software === '' ? undefined : software, resumes, peer, status, result: reason, attempt: end.attempts, path: end.route,
				ms: Math.round(end.ms), sentMs: rounded(end.sentMs), writtenMs: rounded(end.writtenMs), lagMs: end.lagMs > maxLagMs ? Math.round(end.lagMs) : undefined, waitedMs: end.waitedMs > 0 ? Math.round(end.waitedMs) : undefined,
				firstMs: rounded(end.firstMs), expectedMs: rounded(end.expectedMs), leaveReason: end.leaveReason,
				weights: end.weights, weightsAgeMs: ageForLog(end.weightsAgeMs), begunWeightsAgeMs: ageForLog(end.begunWeightsAgeMs),
				isLeaving: end.isLeaving || undefined, units: end.quota?.units, level: rounded(end.quota?.level), own: rounded(end.quota?.own),
			});
		},
		attemptFailed({
			requestId, digest, parts, endpoint, software, peer, service, reason, ms, firstMs, backoffMs, weights, weightsAgeMs, next,
		}) {
			metrics.attemptFailed(service, reason);
			if (reason.startsWith('not_run') && isChanging(endpoint)) {
				metrics.rejectedDuringLoad(service, reason);
			}

			if (!logLineBudget.take(`attempt ${reason}`)) {
				return;
			}

			log.warn('Endpoint failed a request.', {
				requestId, digest, parts: parts.length > 0 ? parts.slice(0, maxLoggedParts).join(',') : undefined,
				endpoint, software, peer, service, reason, ms: Math.round(ms), firstMs: rounded(firstMs), backoffMs: backoffMs > 0 ? Math.round(backoffMs) : undefined,
				weights, weightsAgeMs: ageForLog(weightsAgeMs), result: next,
			});
		},
	};
}

/** Returns 'unknown' for infinity, which JSON can't represent. */
function ageForLog(ms: number | undefined): number | string | undefined {
	return ms === Number.POSITIVE_INFINITY ? 'unknown' : rounded(ms);
}

function rounded(value: number | undefined): number | undefined {
	return value === undefined ? undefined : Math.round(value);
}
