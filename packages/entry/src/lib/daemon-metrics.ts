/** Metrics of the entry daemon, in Prometheus text format. */
import {getHeapStatistics} from 'node:v8';
import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type WaitingCount} from 'hickorywalk/admission.js';
import {type RequestEnd} from 'hickorywalk/forwarding.js';

/** Help texts by metric; docs/metrics.md lists the same. */
export const metricHelp = {
	hickorywalk_requests_total: 'Requests that ended, by service and result; results are the reasons in the log.',
	hickorywalk_request_first_seconds: 'Time from a whole request to the first byte of its answer.',
	hickorywalk_begun_weights_age_seconds: 'Time since the weights were replaced on which an answer began, for answers on replaced weights.',
	hickorywalk_request_lag_seconds: 'Upper bound of the age of socket events that were unread when a request was handled; also long after a pause without traffic.',
	hickorywalk_request_write_seconds: 'Time from the latest dispatch of a request to its first byte on a connection, by service.',
	hickorywalk_request_catch_ups_total: 'Times that a request waited until the daemon, which was late, had read what had arrived.',
	hickorywalk_callers_left_total: 'Requests whose callers left before their answer, by whether an endpoint may have got the request (sent) or not (unsent).',
	hickorywalk_request_seconds: 'Time from a whole request to the end of its answer.',
	hickorywalk_attempts_failed_total: 'Attempts at endpoints that failed, by service and reason.',
	hickorywalk_retries_total: 'Decisions of the retry budget, by service and result (granted or refused).',
	hickorywalk_retries_in_window: 'Retries that this daemon counts in the current window, by service.',
	hickorywalk_retry_part: 'Retries in a window that this daemon may grant for each service beyond a share of its requests: its part of the fixed number of all daemons.',
	hickorywalk_retry_part_holders: 'Daemons among which this daemon knows that fixed number to be divided.',
	hickorywalk_requests_left_data_centre_total: 'Requests whose latest attempt went to another data centre, by service and reason.',
	hickorywalk_requests_relayed_total: 'Requests that ended after a peer passed them on, by service and result.',
	hickorywalk_streams_resumed_total: 'Requests of callers that resume a stream, by service and result.',
	hickorywalk_endpoint_crashes_total: 'Crashes of endpoints that this daemon observed.',
	hickorywalk_crash_refusals_total: 'Refusals that this daemon learned of, by kind: of a request or of a prompt part that crashes endpoints.',
	hickorywalk_relays_declined_total: 'Requests of peers that were not passed on, by reason.',
	hickorywalk_paths_lost: 'Endpoints that this daemon can\'t reach over its own network.',
	hickorywalk_engine_drain_seconds: 'Time for which an engine got no requests before this daemon ordered it to load weights, by service.',
	hickorywalk_engine_orders_with_queue_total: 'Orders to load weights to engines that still reported waiting requests, by service.',
	hickorywalk_rejections_during_loads_total: 'Attempts that engines rejected (not_run) while they were known to load weights or to be about to, by service and reason.',
	hickorywalk_engines_waiting: 'Engines that wait for their turn to load weights, at the daemon that gives the orders.',
	hickorywalk_engines_changing: 'Engines that are drained or load weights, at the daemon that gives the orders.',
	hickorywalk_store_calls_total: 'Calls to the platform\'s store, by call.',
	hickorywalk_store_late_calls_total: 'Calls to the platform\'s store that were not answered within their limit, by call; limits follow a store that is late.',
	hickorywalk_store_calls_extended_total: 'Calls to the platform\'s store that are waited for beyond their usual limit, since the store was late before, by call.',
	hickorywalk_table_age_seconds: 'Time since the store last confirmed what this daemon knows of a followed table, by table; beyond the bound on changes, the daemon is out of date.',
	hickorywalk_document_version: 'Version of the operator\'s document that requests are routed by; 0 without one.',
	hickorywalk_store_rows_skipped_total: 'Rows of the platform\'s store that could not be decoded, by table; each time that one is read counts.',
	hickorywalk_requests_waiting: 'Requests that wait until an endpoint can take them, by service and rank.',
	hickorywalk_request_wait_seconds: 'Time for which a request waited until an endpoint could take it, by service and rank; of those that waited.',
	hickorywalk_overload_expected_seconds: 'Expected time to the first byte of requests that were refused as overloaded, by service and rank.',
	hickorywalk_requests_under_way: 'Requests that are being handled.',
	hickorywalk_buffered_bytes: 'Bytes buffered for callers and endpoints that read slowly.',
	hickorywalk_request_heap_bytes: 'Estimated heap of open requests; beyond its limit, further ones are refused.',
	hickorywalk_request_heap_limit_bytes: 'Limit of the heap of open requests.',
	hickorywalk_memory_limit_bytes: 'Memory limit of the process; compare with process_resident_memory_bytes.',
	hickorywalk_heap_limit_bytes: 'Heap size at which the runtime ends the process; compare with nodejs_heap_size_used_bytes.',
	hickorywalk_heap_held_bytes: 'Heap in use after the latest major collection, which is no garbage; from three quarters of its limit on, requests are refused.',
	hickorywalk_connections_closed_total: 'Connections that were closed at a limit, by server and reason: idle, too_many, pipelined or expensive.',
	hickorywalk_connections_waiting: 'Connections of which something has arrived that waits for its turn.',
	hickorywalk_buffer_aborts_total: 'Requests that were aborted since their bytes were not read and buffers were full.',
	hickorywalk_peers_heard: 'Daemons whose reports arrive.',
	hickorywalk_event_loop_turns_total: 'Turns of the event loop; each wake-up of the process takes at least one.',
	hickorywalk_event_loop_busy_seconds_total: 'Time that the event loop did not spend waiting.',
	hickorywalk_uncaught_exceptions_total: 'Exceptions that nothing caught; the daemon goes on after each.',
	hickorywalk_log_lines_left_out_total: 'Log lines left out because their kind was over its budget, or the reader too slow.',
} as const;

/** Current values for the gauges. */
export type GaugeSources = {
	requestsInFlight: () => number;
	livePeers: () => number;
	lostPaths: () => number;
	bufferedBytes: () => number;
	bufferAborts: () => number;
	requestHeapBytes: () => number;
	requestHeapLimitBytes: () => number;
	memoryLimitBytes: () => number;
	heapHeldBytes: () => number;
	waitingConnections: () => number;
	waiting: () => WaitingCount[];
	/** By service. */
	retriesInWindow: () => ReadonlyArray<[service: string, count: number]>;
	retryPart: () => number;
	retryPartHolders: () => number;
	enginesWaiting: () => number;
	enginesChanging: () => number;
	uncaughtExceptions: () => number;
	documentVersion: () => number;
	/** Milliseconds by table; infinite before its first listing. */
	tableAgesMs: () => Record<string, number>;
};

/** Records and serves the metrics. */
export type DaemonMetrics = {
	requestEnded: (end: RequestEnd) => void;
	attemptFailed: (service: string, reason: string) => void;
	retryDecided: (service: string, isGranted: boolean) => void;
	engineDrained: (service: string, ms: number, waiting: number) => void;
	rejectedDuringLoad: (service: string, reason: string) => void;
	endpointCrashed: () => void;
	crashRefused: (kind: 'request' | 'part') => void;
	relayDeclined: (reason: string) => void;
	storeCalled: (call: string) => void;
	storeLate: (call: string) => void;
	storeExtended: (call: string) => void;
	rowSkipped: (table: string) => void;
	connectionsClosed: (server: string, reason: string, count: number) => void;
	logLinesDropped: (count: number) => void;
	/** Registers the gauges; called once their sources exist. */
	registerGauges: (sources: GaugeSources) => void;
	/** All metrics in Prometheus text format. */
	text: () => Promise<string>;
};

/** Histogram bounds in seconds. Target times are 0.2 to 0.8 s, and callers give up after some seconds. */
const secondsBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 4, 8, 16];
const msPerSecond = 1000;

/** The longest interval that a timer takes: the sampled lag of the event loop is not served, since each sample wakes the process. */
const eventLoopSampleMs = (2 ** 31) - 1;
const sampledLagMetrics = ['min', 'max', 'mean', 'stddev', 'p50', 'p90', 'p99'].map(name => `nodejs_eventloop_lag_${name}_seconds`);

/** Creates the metrics of one daemon. */
export function createDaemonMetrics(): DaemonMetrics {
	const registry = new Registry();
	const registers = [registry];
	const describe = <Name extends keyof typeof metricHelp>(name: Name) => ({name, help: metricHelp[name], registers});

	/** Serves a total that the runtime counts. */
	const registerTotal = (name: keyof typeof metricHelp, read: () => number) => new Counter({
		...describe(name),
		collect() {
			this.reset();
			this.inc(read());
		},
	});

	const requestCounter = new Counter({...describe('hickorywalk_requests_total'), labelNames: ['service', 'result']});
	const failedAttemptCounter = new Counter({...describe('hickorywalk_attempts_failed_total'), labelNames: ['service', 'reason']});
	const retryCounter = new Counter({...describe('hickorywalk_retries_total'), labelNames: ['service', 'result']});
	const leftCounter = new Counter({...describe('hickorywalk_requests_left_data_centre_total'), labelNames: ['service', 'reason']});
	const relayedCounter = new Counter({...describe('hickorywalk_requests_relayed_total'), labelNames: ['service', 'result']});
	const resumedCounter = new Counter({...describe('hickorywalk_streams_resumed_total'), labelNames: ['service', 'result']});
	const declinedCounter = new Counter({...describe('hickorywalk_relays_declined_total'), labelNames: ['reason']});
	const crashCounter = new Counter(describe('hickorywalk_endpoint_crashes_total'));
	const crashRefusalCounter = new Counter({...describe('hickorywalk_crash_refusals_total'), labelNames: ['kind']});
	const storeCallCounter = new Counter({...describe('hickorywalk_store_calls_total'), labelNames: ['call']});
	const lateCallCounter = new Counter({...describe('hickorywalk_store_late_calls_total'), labelNames: ['call']});
	const extendedCallCounter = new Counter({...describe('hickorywalk_store_calls_extended_total'), labelNames: ['call']});
	const skippedRowCounter = new Counter({...describe('hickorywalk_store_rows_skipped_total'), labelNames: ['table']});
	const closedConnectionCounter = new Counter({...describe('hickorywalk_connections_closed_total'), labelNames: ['server', 'reason']});
	const droppedLineCounter = new Counter(describe('hickorywalk_log_lines_left_out_total'));
	const firstByteSeconds = new Histogram({...describe('hickorywalk_request_first_seconds'), labelNames: ['service'], buckets: secondsBuckets});
	const totalSeconds = new Histogram({...describe('hickorywalk_request_seconds'), labelNames: ['service'], buckets: secondsBuckets});
	const lagSeconds = new Histogram({...describe('hickorywalk_request_lag_seconds'), buckets: secondsBuckets});
	const writeSeconds = new Histogram({...describe('hickorywalk_request_write_seconds'), labelNames: ['service'], buckets: secondsBuckets});
	const catchUpCounter = new Counter(describe('hickorywalk_request_catch_ups_total'));
	const leftCallerCounter = new Counter({...describe('hickorywalk_callers_left_total'), labelNames: ['when']});
	const begunWeightsAgeSeconds = new Histogram({...describe('hickorywalk_begun_weights_age_seconds'), labelNames: ['service'], buckets: secondsBuckets});
	const waitSeconds = new Histogram({...describe('hickorywalk_request_wait_seconds'), labelNames: ['service', 'rank'], buckets: secondsBuckets});
	const overloadExpectedSeconds = new Histogram({...describe('hickorywalk_overload_expected_seconds'), labelNames: ['service', 'rank'], buckets: secondsBuckets});
	const drainSeconds = new Histogram({...describe('hickorywalk_engine_drain_seconds'), labelNames: ['service'], buckets: secondsBuckets});
	const queuedOrderCounter = new Counter({...describe('hickorywalk_engine_orders_with_queue_total'), labelNames: ['service']});
	const loadRejectionCounter = new Counter({...describe('hickorywalk_rejections_during_loads_total'), labelNames: ['service', 'reason']});
	registerTotal('hickorywalk_event_loop_turns_total', () => performance.nodeTiming.uvMetricsInfo.loopCount);
	registerTotal('hickorywalk_event_loop_busy_seconds_total', () => performance.eventLoopUtilization().active / msPerSecond);

	// Last, since some collectors read only the first kilobytes, and the runtime's metrics take as many.
	collectDefaultMetrics({register: registry, eventLoopMonitoringPrecision: eventLoopSampleMs});
	for (const name of sampledLagMetrics) {
		registry.removeSingleMetric(name);
	}

	return {
		requestEnded({
			service = 'none', reason, leaveReason, peer, resumes, ms, firstMs, sentMs, writtenMs, lagMs, catchUps, expectedMs, waitedMs, rank = 0, begunWeightsAgeMs = 0,
		}) {
			lagSeconds.observe(lagMs / msPerSecond);
			catchUpCounter.inc(catchUps);
			if (sentMs !== undefined && writtenMs !== undefined && writtenMs >= sentMs) {
				writeSeconds.observe({service}, (writtenMs - sentMs) / msPerSecond);
			}

			if (reason === 'caller_left') {
				leftCallerCounter.inc({when: writtenMs === undefined ? 'unsent' : 'sent'});
			}

			if (waitedMs > 0) {
				waitSeconds.observe({service, rank}, waitedMs / msPerSecond);
			}

			if (reason === 'overloaded' && expectedMs !== undefined) {
				overloadExpectedSeconds.observe({service, rank}, expectedMs / msPerSecond);
			}

			requestCounter.inc({service, result: reason});
			if (leaveReason !== undefined) {
				leftCounter.inc({service, reason: leaveReason});
			}

			if (peer !== undefined) {
				relayedCounter.inc({service, result: reason});
			}

			if (resumes !== undefined) {
				resumedCounter.inc({service, result: reason});
			}

			totalSeconds.observe({service}, ms / msPerSecond);
			if (firstMs !== undefined) {
				firstByteSeconds.observe({service}, firstMs / msPerSecond);
			}

			if (begunWeightsAgeMs > 0 && Number.isFinite(begunWeightsAgeMs)) {
				begunWeightsAgeSeconds.observe({service}, begunWeightsAgeMs / msPerSecond);
			}
		},
		attemptFailed(service, reason) {
			failedAttemptCounter.inc({service, reason});
		},
		retryDecided(service, isGranted) {
			retryCounter.inc({service, result: isGranted ? 'granted' : 'refused'});
		},
		engineDrained(service, ms, waiting) {
			drainSeconds.observe({service}, ms / msPerSecond);
			if (waiting > 0) {
				queuedOrderCounter.inc({service});
			}
		},
		rejectedDuringLoad(service, reason) {
			loadRejectionCounter.inc({service, reason});
		},
		endpointCrashed() {
			crashCounter.inc();
		},
		crashRefused(kind) {
			crashRefusalCounter.inc({kind});
		},
		relayDeclined(reason) {
			declinedCounter.inc({reason});
		},
		storeCalled(call) {
			storeCallCounter.inc({call});
		},
		storeLate(call) {
			lateCallCounter.inc({call});
		},
		storeExtended(call) {
			extendedCallCounter.inc({call});
		},
		rowSkipped(table) {
			skippedRowCounter.inc({table});
		},
		connectionsClosed(server, reason, count) {
			closedConnectionCounter.inc({server, reason}, count);
		},
		logLinesDropped(count) {
			droppedLineCounter.inc(count);
		},
		registerGauges({
			requestsInFlight, livePeers, lostPaths, bufferedBytes, bufferAborts, requestHeapBytes, requestHeapLimitBytes, memoryLimitBytes, heapHeldBytes, waitingConnections, waiting,
			retriesInWindow, retryPart, retryPartHolders, enginesWaiting, enginesChanging, uncaughtExceptions, documentVersion, tableAgesMs,
		}) {
			const registerGauge = (name: keyof typeof metricHelp, read: () => number) => new Gauge({
				...describe(name),
				collect() {
					this.set(read());
				},
			});
			registry.registerMetric(new Gauge({
				name: 'hickorywalk_requests_waiting',
				help: metricHelp.hickorywalk_requests_waiting,
				registers: [],
				labelNames: ['service', 'rank'],
				collect() {
					this.reset();
					for (const {service, rank, count} of waiting()) {
						this.set({service, rank}, count);
					}
				},
			}));
			registry.registerMetric(new Gauge({
				...describe('hickorywalk_table_age_seconds'),
				registers: [],
				labelNames: ['table'],
				collect() {
					for (const [table, ageMs] of Object.entries(tableAgesMs())) {
						this.set({table}, ageMs / msPerSecond);
					}
				},
			}));
			registry.registerMetric(new Gauge({
				...describe('hickorywalk_retries_in_window'),
				registers: [],
				labelNames: ['service'],
				collect() {
					for (const [service, count] of retriesInWindow()) {
						this.set({service}, count);
					}
				},
			}));
			registerGauge('hickorywalk_retry_part', retryPart);
			registerGauge('hickorywalk_retry_part_holders', retryPartHolders);
			registerGauge('hickorywalk_document_version', documentVersion);
			registerGauge('hickorywalk_requests_under_way', requestsInFlight);
			registerGauge('hickorywalk_peers_heard', livePeers);
			registerGauge('hickorywalk_paths_lost', lostPaths);
			registerGauge('hickorywalk_buffered_bytes', bufferedBytes);
			registerGauge('hickorywalk_connections_waiting', waitingConnections);
			registerTotal('hickorywalk_buffer_aborts_total', bufferAborts);
			registerGauge('hickorywalk_request_heap_bytes', requestHeapBytes);
			registerGauge('hickorywalk_request_heap_limit_bytes', requestHeapLimitBytes);
			registerGauge('hickorywalk_memory_limit_bytes', memoryLimitBytes);
			registerGauge('hickorywalk_heap_limit_bytes', () => getHeapStatistics().heap_size_limit);
			registerGauge('hickorywalk_heap_held_bytes', heapHeldBytes);
			registerGauge('hickorywalk_engines_waiting', enginesWaiting);
			registerGauge('hickorywalk_engines_changing', enginesChanging);
			registerTotal('hickorywalk_uncaught_exceptions_total', uncaughtExceptions);
		},
		text: async () => registry.metrics(),
	};
}
