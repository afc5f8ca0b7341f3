/** Plans the next steps of a rollout from the observed endpoints. Pure functions without clock or I/O. */
import {type EngineWeights} from './engine-control.js';
import {type RolloutRecord} from './rollout-record.js';

/** Observed endpoints of a service, and the limits of its rollout. */
export type RolloutView = {
	/** Weights by endpoint, in document order; `undefined` for an endpoint that did not answer. */
	weights: ReadonlyMap<string, EngineWeights | undefined>;
	minReady: number;
	maxLoading: number;
	/** Milliseconds since 1970. */
	nowMs: number;
	/** Milliseconds that one endpoint may take to load. */
	loadTimeoutMs: number;
};

/** The next steps. */
export type RolloutPlan = {
	/** The record after these steps. */
	record: RolloutRecord;
	/** Endpoints to order to load a version; the record already includes these steps. */
	orders: Array<{endpoint: string; version: string}>;
};

/**
 * A rollout may roll back as long as no more endpoints run the new weights than
 * the old ones. Past that point a rollback would take longer and affect more
 * endpoints than completing the rollout, so it halts for an operator to decide.
 */
function mayRollBack(record: RolloutRecord, view: RolloutView): boolean {
	let moved = 0;
	let old = 0;
	for (const weights of view.weights.values()) {
		moved += weights?.version === record.target ? 1 : 0;
		old += weights?.version === record.previous ? 1 : 0;
	}

	return moved <= old;
}

/** Removes completed steps, and those of endpoints that no longer exist. */
function dropCompletedSteps(record: RolloutRecord, view: RolloutView): RolloutRecord {
	const steps: RolloutRecord['steps'] = {};
	for (const [endpoint, step] of Object.entries(record.steps)) {
		const weights = view.weights.get(endpoint);
		const isDone = weights?.version === step.version && !weights.loading;
		if (view.weights.has(endpoint) && !isDone) {
			steps[endpoint] = step;
		}
	}

	return {...record, steps};
}

/** Returns the first endpoint whose load exceeded the timeout. */
function findOverdue(record: RolloutRecord, view: RolloutView): string | undefined {
	for (const [endpoint, step] of Object.entries(record.steps)) {
		if (view.nowMs - step.orderedMs > view.loadTimeoutMs) {
			return endpoint;
		}
	}

	return undefined;
}

function afterFailure(record: RolloutRecord, view: RolloutView, endpoint: string): RolloutRecord {
	const reason = `${endpoint} did not load ${record.steps[endpoint].version} within ${view.loadTimeoutMs} ms`;
	const rollsBack = record.phase === 'forward' && record.previous !== '' && mayRollBack(record, view);
	return {
		...record, phase: rollsBack ? 'back' : 'halted', reason: record.reason === '' ? reason : record.reason, steps: {},
	};
}

/** Plans orders for as many endpoints as `maxLoading` and `minReady` allow. */
function planOrders(record: RolloutRecord, view: RolloutView): RolloutPlan {
	const version = record.phase === 'forward' ? record.target : record.previous;
	const steps = {...record.steps};
	const orders: RolloutPlan['orders'] = [];
	let loading = 0;
	let ready = 0;
	for (const [endpoint, weights] of view.weights) {
		const isBusy = weights?.loading === true || steps[endpoint] !== undefined;
		loading += isBusy ? 1 : 0;
		ready += weights !== undefined && !isBusy ? 1 : 0;
	}

	for (const [endpoint, weights] of view.weights) {
		// An endpoint that did not answer gets no order, since its version is unknown.
		if (weights === undefined || weights.loading || weights.version === version || steps[endpoint] !== undefined) {
			continue;
		}

		if (loading >= view.maxLoading || ready - 1 < view.minReady) {
			break;
		}

		loading++;
		ready--;
		steps[endpoint] = {version, orderedMs: view.nowMs};
		orders.push({endpoint, version});
	}

	return {record: {...record, steps}, orders};
}

/** Returns the most common version other than `other`, as the target of a rollback. */
function commonVersion(view: RolloutView, other: string): string {
	const counts = new Map<string, number>();
	for (const weights of view.weights.values()) {
		if (weights !== undefined && weights.version !== other) {
			counts.set(weights.version, (counts.get(weights.version) ?? 0) + 1);
		}
	}

	let best = '';
	for (const [version, count] of counts) {
		best = count > (counts.get(best) ?? 0) ? version : best;
	}

	return best;
}

/** Starts a rollout or changes its target; steps with pending orders are kept. */
export function beginRollout(before: RolloutRecord | undefined, target: string, view: RolloutView): RolloutRecord {
	return {
		target, previous: commonVersion(view, target), phase: 'forward', reason: '', steps: before?.steps ?? {},
	};
}

/** Plans the next steps of a started rollout. */
export function planRollout(before: RolloutRecord, view: RolloutView): RolloutPlan {
	let record = dropCompletedSteps(before, view);
	const overdue = findOverdue(record, view);
	if (overdue !== undefined) {
		record = afterFailure(record, view, overdue);
	}

	if (record.phase === 'halted') {
		return {record, orders: []};
	}

	const plan = planOrders(record, view);
	const isRollbackComplete = record.phase === 'back' && Object.keys(plan.record.steps).length === 0;
	return isRollbackComplete ? {record: {...plan.record, phase: 'halted'}, orders: []} : plan;
}
