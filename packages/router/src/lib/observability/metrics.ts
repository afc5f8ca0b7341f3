/**
 * Metrics behind one small interface, sent by StatsD datagrams.
 *
 * Tags are a closed list with a cap on distinct values: a tag that follows
 * requests, keys or prompts would cost the metrics store without bound, and
 * would carry there what must stay here. docs/metrics.md gives each meaning.
 */
import {StatsD} from 'hot-shots';

/** The only tags there are. */
export const metricTagNames = ['workspace', 'service', 'endpoint', 'data_centre', 'result'] as const;

export type MetricTagName = typeof metricTagNames[number];
export type MetricTags = Partial<Record<MetricTagName, string>>;

/** Where parts report numbers. Calls never block and never throw. */
export type Metrics = {
	/** Adds to a counter; 1 when no value is given. */
	count: (name: string, value?: number, tags?: MetricTags) => void;
	/** Says what a quantity is now. */
	gauge: (name: string, value: number, tags?: MetricTags) => void;
	/** Records a duration in milliseconds. */
	timing: (name: string, ms: number, tags?: MetricTags) => void;
};

/** Metrics that hold a socket. */
export type MetricsClient = Metrics & {
	/** Sends what is buffered and closes the socket. */
	close: () => Promise<void>;
};

/** Stands for every value of a tag beyond the cap. */
export const otherTagValue = 'other';

export type MetricsOptions = {
	/** Address of the StatsD agent; without one nothing is sent. */
	host?: string;
	/** UDP port of the agent; 8125 by default. */
	port?: number;
	/** Put before every name; `hickorywalk.` by default. */
	prefix?: string;
	/** Tags of every metric, such as the data centre. */
	tags?: MetricTags;
	/**
	 * Distinct values of one tag that are told apart until the process ends;
	 * 2,048 by default, which is above the 1,200 workspaces of the target size.
	 */
	mostTagValues?: number;
	/** Hears of datagrams that could not be sent; they are lost. */
	onError?: (err: Error) => void;
};

/**
 * Creates a client of a StatsD agent.
 *
 * @example
 * const metrics = createMetrics({host: '127.0.0.1', tags: {data_centre: 'hobart-a'}});
 * metrics.count('requests', 1, {workspace: 'school-1', result: 'answered'});
 */
export function createMetrics(options: MetricsOptions = {}): MetricsClient {
	const bound = createTagBound(options.mostTagValues);
	const client = new StatsD({
		host: options.host ?? '127.0.0.1',
		port: options.port ?? 8125,
		prefix: options.prefix ?? 'hickorywalk.',
		globalTags: bound(options.tags),
		mock: options.host === undefined,
		maxBufferSize: 1400,
		bufferFlushInterval: 1000,
		// The name is resolved once; a lookup for each datagram would block on a slow resolver.
		cacheDns: true,
		includeDataDogTags: false,
		errorHandler: options.onError ?? ignore,
	});
	return {
		count(name, value, tags) {
			client.increment(name, value ?? 1, bound(tags));
		},
		gauge(name, value, tags) {
			client.gauge(name, value, bound(tags));
		},
		timing(name, ms, tags) {
			client.timing(name, ms, bound(tags));
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

/** A lost datagram is the price of UDP; it must not end the daemon. */
function ignore(): void {
	// Nothing to do.
}

const defaultMostTagValues = 2048;
const longestTagValue = 64;

/**
 * Keeps tags to the closed list and each one's values to a cap. Without the
 * cap, one caller that makes names up (of a service, say) fills the metrics
 * store; past the cap new values count as `other`, and known ones go on.
 *
 * @internal
 */
export function createTagBound(most = defaultMostTagValues): (tags: MetricTags | undefined) => Record<string, string> {
	const seen = new Map<string, Set<string>>(metricTagNames.map(tag => [tag, new Set()]));
	return tags => {
		const bounded: Record<string, string> = {};
		for (const tag of metricTagNames) {
			const value = tags?.[tag];
			const values = seen.get(tag);
			if (value === undefined || values === undefined) {
				continue;
			}

			const known = values.has(value);
			if (!known && (values.size >= most || value.length > longestTagValue)) {
				bounded[tag] = otherTagValue;
				continue;
			}

			values.add(value);
			bounded[tag] = value;
		}

		return bounded;
	};
}
