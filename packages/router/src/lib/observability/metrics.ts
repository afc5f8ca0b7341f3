/**
 * Metrics interface and a client that sends StatsD datagrams.
 *
 * Tags are a closed list with a limit on distinct values. A tag per request, key
 * or prompt would grow the metrics store without bound and would export data
 * that must not leave this process. docs/metrics.md documents each metric.
 */
import {StatsD} from 'hot-shots';

/** All tags that metrics may have. */
export const metricTagNames = ['workspace', 'service', 'endpoint', 'data_centre', 'result'] as const;

export type MetricTagName = typeof metricTagNames[number];
export type MetricTags = Partial<Record<MetricTagName, string>>;

/** Receives measurements. Calls never block and never throw. */
export type Metrics = {
	/** Increments a counter by `value`, 1 by default. */
	count: (name: string, value?: number, tags?: MetricTags) => void;
	/** Reports the current value of a quantity. */
	gauge: (name: string, value: number, tags?: MetricTags) => void;
	/** Records a duration in milliseconds. */
	timing: (name: string, ms: number, tags?: MetricTags) => void;
};

/** A metrics client that holds a socket. */
export type MetricsClient = Metrics & {
	/** Sends buffered metrics and closes the socket. */
	close: () => Promise<void>;
};

/** Replaces all tag values beyond the limit. */
export const otherTagValue = 'other';

export type MetricsOptions = {
	/** Address of the StatsD agent; if absent, nothing is sent. */
	host?: string;
	/** UDP port of the agent; 8125 by default. */
	port?: number;
	/** Prefix of every metric name; `hickorywalk.` by default. */
	prefix?: string;
	/** Tags added to every metric, such as the data centre. */
	tags?: MetricTags;
	/**
	 * Maximum number of distinct values of one tag over the life of the process;
	 * 2,048 by default, which is above the 1,200 workspaces of the target size.
	 */
	maxTagValues?: number;
	/** Called for datagrams that could not be sent; they are lost. */
	onError?: (err: Error) => void;
};

/**
 * Creates a client for a StatsD agent.
 *
 * @example
 * const metrics = createMetrics({host: '127.0.0.1', tags: {data_centre: 'hobart-a'}});
 * metrics.count('requests', 1, {workspace: 'school-1', result: 'answered'});
 */
export function createMetrics(options: MetricsOptions = {}): MetricsClient {
	const limitTags = createTagLimiter(options.maxTagValues);
	const client = new StatsD({
		host: options.host ?? '127.0.0.1',
		port: options.port ?? 8125,
		prefix: options.prefix ?? 'hickorywalk.',
		globalTags: limitTags(options.tags),
		mock: options.host === undefined,
		maxBufferSize: 1400,
		bufferFlushInterval: 1000,
		// Resolves the host once; a lookup per datagram would block on a slow resolver.
		cacheDns: true,
		includeDataDogTags: false,
		errorHandler: options.onError ?? ignoreError,
	});
	return {
		count(name, value, tags) {
			client.increment(name, value ?? 1, limitTags(tags));
		},
		gauge(name, value, tags) {
			client.gauge(name, value, limitTags(tags));
		},
		timing(name, ms, tags) {
			client.timing(name, ms, limitTags(tags));
		},
		close: async () => closeClient(client),
	};
}

async function closeClient(client: StatsD): Promise<void> {
	return new Promise(resolve => {
		client.close(() => {
			resolve();
		});
	});
}

/** UDP may lose datagrams; a send error must not end the daemon. */
function ignoreError(): void {
	// Ignored.
}

const defaultMaxTagValues = 2048;
const maxTagValueLength = 64;

/**
 * Drops unknown tags and limits the distinct values of each tag. Without the limit,
 * a caller that invents names (of a service, say) fills the metrics store. Beyond
 * the limit, new values count as `other`, and known ones are still reported.
 *
 * @internal
 */
export function createTagLimiter(maxValues = defaultMaxTagValues): (tags: MetricTags | undefined) => Record<string, string> {
	const seen = new Map<string, Set<string>>(metricTagNames.map(tag => [tag, new Set()]));
	return tags => {
		const limited: Record<string, string> = {};
		for (const tag of metricTagNames) {
			const value = tags?.[tag];
			const values = seen.get(tag);
			if (value === undefined || values === undefined) {
				continue;
			}

			const known = values.has(value);
			if (!known && (values.size >= maxValues || value.length > maxTagValueLength)) {
				limited[tag] = otherTagValue;
				continue;
			}

			values.add(value);
			limited[tag] = value;
		}

		return limited;
	};
}
