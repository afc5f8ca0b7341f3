/** In-memory metrics for tests, the demo and benchmarks. */
import {createTagLimiter, type MetricTags, type Metrics} from './metrics.js';

/** One recorded call. */
export type CollectedMetric = {
	kind: keyof Metrics;
	name: string;
	value: number;
	tags: Record<string, string>;
};

/** Metrics whose records can be read back. */
export type CollectingMetrics = Metrics & {
	records: readonly CollectedMetric[];
	/** Sums a counter over all records whose tags include `tags`. */
	sum: (name: string, tags?: MetricTags) => number;
};

/** Creates metrics that record every call. Memory grows without bound: not for long-running daemons. */
export function createCollectingMetrics(): CollectingMetrics {
	const limitTags = createTagLimiter();
	const records: CollectedMetric[] = [];
	const recordCall = (kind: keyof Metrics) => (name: string, value?: number, tags?: MetricTags): void => {
		records.push({
			kind, name, value: value ?? 1, tags: limitTags(tags),
		});
	};

	return {
		records,
		count: recordCall('count'),
		gauge: recordCall('gauge'),
		timing: recordCall('timing'),
		sum(name, tags = {}) {
			let sum = 0;
			for (const record of records) {
				const matches = Object.entries(tags).every(([tag, value]) => record.tags[tag] === value);
				sum += record.name === name && matches ? record.value : 0;
			}

			return sum;
		},
	};
}

/** Creates metrics that discard everything. */
export function createSilentMetrics(): Metrics {
	const noop = (): void => {
		// Discards the value.
	};

	return {count: noop, gauge: noop, timing: noop};
}
