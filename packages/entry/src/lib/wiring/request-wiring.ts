/** Wires what decides on requests: quotas, the choice of endpoints, retry budgets, and what is told of requests. */
import {type ForwardingEvents} from 'hickorywalk/forwarding.js';
import {createEndpointChoice} from 'hickorywalk/placing.js';
import {createFleetQuota, type FleetQuota} from 'hickorywalk/quotas.js';
import {type AttemptBudget, createRetryBudget} from 'hickorywalk/routing.js';
import {type EntryParts} from './parts.js';

/** Part of what the platform allows that this project uses of the retry budget. */
const budgetUsed = 0.7;

/** Part of the units that a workspace may be over its quota which a restarted fleet starts with. */
const quotaExtraAtStart = 0.5;

/** Part of the connections that endpoints accept which all daemons together use; the rest is for those that come and go. */
const connectionsUsed = 0.9;

/** Daemons that are known, this one included. */
const countDaemons = (parts: EntryParts): number => parts.peers.known().size + 1;

/** Rates and bursts of workspaces. */
export function wireQuota(parts: EntryParts): FleetQuota {
	const {settings, timings} = parts;
	return createFleetQuota({
		startsFull: settings.isFirstStart,
		onUnreported() {
			parts.peers.sendSoon();
		},
		startUnits: settings.quota.extraUnits * quotaExtraAtStart,
		daemons: () => countDaemons(parts),
		silenceMs: timings.peerSilenceMs,
		goneMs: timings.peerGoneMs,
	});
}

/** Which endpoint gets a request. */
export function wireChoice({view, book, health, presence, versions, kept, resident, peers, settings}: EntryParts) {
	return createEndpointChoice({
		view, book, health, presence, versions, kept, resident, dataCentre: settings.dataCentre, connectionShare: () => connectionsUsed / (peers.live().length + 1), weightsMs: settings.weightsMs,
	});
}

/** One retry budget for each service. */
export function wireBudgets(parts: EntryParts): (service: string) => AttemptBudget {
	const budgets = new Map<string, AttemptBudget>();
	const {isFirstStart, retries: {share, extra, windowMs}} = parts.settings;
	const openedAt = performance.now();

	/**
	 * This daemon's part of the fixed number. A process that was started again
	 * doesn't know what the one before it has spent, so its part grows from
	 * nothing over one window; else a fleet that is killed could spend it twice.
	 */
	const ownExtra = (): number => {
		const knownShare = isFirstStart ? 1 : Math.min(1, (performance.now() - openedAt) / windowMs);
		return Math.floor(extra * budgetUsed * knownShare / countDaemons(parts));
	};

	return service => {
		let budget = budgets.get(service);
		if (budget === undefined) {
			budget = createRetryBudget({
				share: share * budgetUsed, fewest: ownExtra, isFewestExtra: true, windowMs,
			});
			budgets.set(service, budget);
		}

		return budget;
	};
}

/** Logs and metrics of requests. */
export function wireEvents({log, metrics, lines}: EntryParts): ForwardingEvents {
	return {
		ended(end) {
			metrics.ended(end);
			if (!lines.take(end.reason)) {
				return;
			}

			const {requestId, workspace, service, endpoint, status, reason} = end;
			log.info('Request ended.', {
				requestId, workspace, service, endpoint, status, result: reason, attempt: end.attempts, path: end.route,
				ms: Math.round(end.ms), firstMs: rounded(end.firstMs), expectedMs: rounded(end.expectedMs),
				units: end.quota?.units, level: rounded(end.quota?.level), own: rounded(end.quota?.own),
			});
		},
		attemptFailed({requestId, endpoint, service, reason, ms, next}) {
			metrics.attemptFailed(service, reason);
			if (!lines.take(`attempt ${reason}`)) {
				return;
			}

			log.warn('Endpoint failed a request.', {
				requestId, endpoint, service, reason, ms: Math.round(ms), result: next,
			});
		},
	};
}

function rounded(value: number | undefined): number | undefined {
	return value === undefined ? undefined : Math.round(value);
}
