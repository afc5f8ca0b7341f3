/** Metrics that stay in the process: for tests, the demo and benchmarks. */
import {createTagBound, type MetricTags, type Metrics} from './metrics.js';

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
	/** Sum of a counter over the records whose tags include `tags`. */
	sum: (name: string, tags?: MetricTags) => number;
};

/** Creates metrics that keep every call, without an end: not for a daemon that stays. */
export function createCollectingMetrics(): CollectingMetrics {
	const bound = createTagBound();
	const records: CollectedMetric[] = [];
	const keep = (kind: keyof Metrics) => (name: string, value?: number, tags?: MetricTags): void => {
		records.push({
			kind, name, value: value ?? 1, tags: bound(tags),
		});
	};

	return {
		records,
		count: keep('count'),
		gauge: keep('gauge'),
		timing: keep('timing'),
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

/** Creates metrics that go nowhere. */
export function createSilentMetrics(): Metrics {
	const nothing = (): void => {
		// Nothing is recorded.
	};

	return {count: nothing, gauge: nothing, timing: nothing};
}
