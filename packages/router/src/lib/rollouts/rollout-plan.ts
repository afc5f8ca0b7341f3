/** Decides the next steps of a rollout from what is seen; pure of time and I/O. */
import {type EngineWeights} from './engine-control.js';
import {type RolloutRecord} from './rollout-record.js';

/** What is known of a service's endpoints. */
export type RolloutView = {
	/** Endpoints in the order of the document; `undefined` for one that gave no answer. */
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
	/** The record that these steps leave behind. */
	record: RolloutRecord;
	/** Endpoints to be told to load, with the version; the record names them already. */
	orders: Array<{endpoint: string; version: string}>;
};

/**
 * A rollout turns back as long as no more endpoints run the new weights than
 * the old ones. Past that point going back would take longer and touch more
 * than what is left, so it halts, and an operator decides.
 */
function mayTurnBack(record: RolloutRecord, view: RolloutView): boolean {
	let moved = 0;
	let old = 0;
	for (const weights of view.weights.values()) {
		moved += weights?.version === record.target ? 1 : 0;
		old += weights?.version === record.previous ? 1 : 0;
	}

	return moved <= old;
}

/** Drops steps that are done, and those of endpoints that are gone. */
function dropDone(record: RolloutRecord, view: RolloutView): RolloutRecord {
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

/** The first endpoint that did not load in time. */
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
	const turnsBack = record.phase === 'forward' && record.previous !== '' && mayTurnBack(record, view);
	return {
		...record, phase: turnsBack ? 'back' : 'halted', reason: record.reason === '' ? reason : record.reason, steps: {},
	};
}

/** Orders as many endpoints as the bounds on loading and on ready ones allow. */
function orderMore(record: RolloutRecord, view: RolloutView): RolloutPlan {
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
		// An endpoint that is silent is not ordered: nobody knows what it runs.
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

/** The most common version, which a rollout would go back to. */
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

/** Begins a rollout, or takes a new target up; orders that are out stay known. */
export function beginRollout(before: RolloutRecord | undefined, target: string, view: RolloutView): RolloutRecord {
	return {
		target, previous: commonVersion(view, target), phase: 'forward', reason: '', steps: before?.steps ?? {},
	};
}

/** Plans the next steps of a rollout that has begun. */
export function planRollout(before: RolloutRecord, view: RolloutView): RolloutPlan {
	let record = dropDone(before, view);
	const overdue = findOverdue(record, view);
	if (overdue !== undefined) {
		record = afterFailure(record, view, overdue);
	}

	if (record.phase === 'halted') {
		return {record, orders: []};
	}

	const plan = orderMore(record, view);
	const isBackAgain = record.phase === 'back' && Object.keys(plan.record.steps).length === 0;
	return isBackAgain ? {record: {...plan.record, phase: 'halted'}, orders: []} : plan;
}
