/** Wires the limits on repeats of requests. */
import {
	createRetryPartHolder, createRetryWindow, type RetryPartHolder, type RetryWindow,
} from 'hickorywalk/retries.js';
import {type EntryParts} from './parts.js';

/** Retry budgets of all services. */
export type Retries = {
	/** The budget of a service. */
	budgetOf: (service: string) => RetryWindow;
	/** Retries in the current window, by service. */
	inWindow: () => ReadonlyArray<[service: string, count: number]>;
};

/** Creates the retry budgets. */
export function wireRetries({settings, clock, retryPart, log, metrics, logLineBudget}: EntryParts): Retries {
	const budgets = new Map<string, RetryWindow>();
	const {share, windowMs} = settings.retries;

	const logRefusal = (service: string, {requests, repeats}: ReturnType<RetryWindow['counts']>): void => {
		if (logLineBudget.take('retry refused')) {
			log.info('Retry budget is spent.', {
				service, requests, repeats, own: retryPart.units(), count: retryPart.holders(),
			});
		}
	};

	/** The budget, with its decisions in logs and metrics. */
	const observed = (service: string, budget: RetryWindow): RetryWindow => ({
		...budget,
		reserve() {
			const grant = budget.reserve();
			metrics.retryDecided(service, grant !== undefined);
			if (grant === undefined) {
				logRefusal(service, budget.counts());
			}

			return grant;
		},
	});

	return {
		budgetOf(service) {
			let budget = budgets.get(service);
			if (budget === undefined) {
				budget = observed(service, createRetryWindow({
					share, windowMs, part: retryPart.units, now: clock.now,
				}));
				budgets.set(service, budget);
			}

			return budget;
		},
		inWindow: () => [...budgets].map(([service, budget]) => [service, budget.counts().repeats]),
	};
}

/** Creates the holder of this daemon's part of the retries that all daemons share. */
export const wireRetryPart = ({settings, incarnation, ownTable, store, log}: EntryParts): RetryPartHolder => createRetryPartHolder({
	name: settings.name,
	incarnation,
	total: settings.retries.extra,
	windowMs: settings.retries.windowMs,
	isFirstStart: settings.isFirstStart,
	table: ownTable,
	tableMs: store.clockMs,
	random: Math.random,
	log,
});
