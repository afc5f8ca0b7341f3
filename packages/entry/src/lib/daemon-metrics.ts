/** Counters and histograms of the entry daemon, served as text. */
import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type RequestEnd} from 'hickorywalk/forwarding.js';

/** Every metric with its meaning; docs/metrics.md lists the same. */
export const metricHelp = {
	hickorywalk_requests_total: 'Requests that ended, by service and result; results are the reasons in the log.',
	hickorywalk_request_first_seconds: 'Time from a whole request to the first byte of its answer.',
	hickorywalk_request_seconds: 'Time from a whole request to the end of its answer.',
	hickorywalk_attempts_failed_total: 'Attempts at endpoints that failed, by service and reason.',
	hickorywalk_store_calls_total: 'Calls to the platform\'s store, by call.',
	hickorywalk_requests_under_way: 'Requests that are being handled.',
	hickorywalk_peers_heard: 'Daemons whose reports arrive.',
	hickorywalk_log_lines_left_out_total: 'Log lines left out because their kind was over its budget, or the reader too slow.',
} as const;

/** What the gauges show. */
export type GaugeSources = {
	underWay: () => number;
	peersHeard: () => number;
};

/** The metrics. */
export type DaemonMetrics = {
	ended: (end: RequestEnd) => void;
	attemptFailed: (service: string, reason: string) => void;
	storeCalled: (call: string) => void;
	linesLeftOut: (count: number) => void;
	/** Opens the gauges, once their sources stand. */
	watch: (sources: GaugeSources) => void;
	/** All metrics in the usual text format. */
	text: () => Promise<string>;
};

/** Bounds in seconds: target times are 0.2 to 0.8 s, and callers leave after some seconds. */
const secondsBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 4, 8, 16];
const msPerSecond = 1000;

/** Sampling interval of the event loop's lag; each sample wakes the process. */
const loopSampleMs = 250;

/** Creates the metrics of one daemon. */
export function createDaemonMetrics(): DaemonMetrics {
	const registry = new Registry();
	const registers = [registry];
	collectDefaultMetrics({register: registry, eventLoopMonitoringPrecision: loopSampleMs});
	const describe = <Name extends keyof typeof metricHelp>(name: Name) => ({name, help: metricHelp[name], registers});
	const requests = new Counter({...describe('hickorywalk_requests_total'), labelNames: ['service', 'result']});
	const first = new Histogram({...describe('hickorywalk_request_first_seconds'), labelNames: ['service'], buckets: secondsBuckets});
	const whole = new Histogram({...describe('hickorywalk_request_seconds'), labelNames: ['service'], buckets: secondsBuckets});
	const failed = new Counter({...describe('hickorywalk_attempts_failed_total'), labelNames: ['service', 'reason']});
	const calls = new Counter({...describe('hickorywalk_store_calls_total'), labelNames: ['call']});
	const leftOut = new Counter(describe('hickorywalk_log_lines_left_out_total'));

	return {
		ended({service = 'none', reason, ms, firstMs}) {
			requests.inc({service, result: reason});
			whole.observe({service}, ms / msPerSecond);
			if (firstMs !== undefined) {
				first.observe({service}, firstMs / msPerSecond);
			}
		},
		attemptFailed(service, reason) {
			failed.inc({service, reason});
		},
		storeCalled(call) {
			calls.inc({call});
		},
		linesLeftOut(count) {
			leftOut.inc(count);
		},
		watch({underWay, peersHeard}) {
			const open = (name: 'hickorywalk_requests_under_way' | 'hickorywalk_peers_heard', read: () => number) => new Gauge({
				...describe(name),
				collect() {
					this.set(read());
				},
			});
			open('hickorywalk_requests_under_way', underWay);
			open('hickorywalk_peers_heard', peersHeard);
		},
		text: async () => registry.metrics(),
	};
}
