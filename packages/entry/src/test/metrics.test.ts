import {readFileSync} from 'node:fs';
import {assert} from 'chai';
import {createDaemonMetrics, metricHelp} from '../lib/daemon-metrics.js';

describe('createDaemonMetrics', () => {
	it('wakes the process for no samples, and tells how often it was woken', async () => {
		const text = await createDaemonMetrics().text();
		assert.notInclude(text, 'nodejs_eventloop_lag_p99');
		const [, turns] = /^hickorywalk_event_loop_turns_total (?<turns>\d+)$/mv.exec(text) ?? [];
		assert.isAbove(Number(turns), 0);
		assert.match(text, /^hickorywalk_event_loop_busy_seconds_total [\d.]+$/mv);
	});

	it('serves the daemon\'s own counters before the runtime\'s metrics', async () => {
		// Guards against collectors that read only the first kilobytes and miss all that tells requests apart.
		const text = await createDaemonMetrics().text();
		const positions = ['hickorywalk_requests_total', 'hickorywalk_attempts_failed_total', 'process_cpu_seconds_total'].map(name => text.indexOf(`# TYPE ${name}`));
		assert.isAtLeast(positions[0], 0);
		assert.deepEqual(positions, positions.toSorted((a, b) => a - b));
	});

	it('serves every metric with its help text, as docs/metrics.md lists it', async () => {
		const metrics = createDaemonMetrics();
		metrics.registerGauges({
			requestsInFlight: () => 3, livePeers: () => 8, lostPaths: () => 2, bufferedBytes: () => 0, bufferAborts: () => 0,
			requestHeapBytes: () => 0, requestHeapLimitBytes: () => 1, memoryLimitBytes: () => 1, heapHeldBytes: () => 1,
			waitingConnections: () => 0, waiting: () => [{service: 'engines', rank: 2, count: 5}],
			retriesInWindow: () => [['desk', 4]], retryPart: () => 6, retryPartHolders: () => 7,
			enginesWaiting: () => 28, enginesChanging: () => 14, uncaughtExceptions: () => 1, documentVersion: () => 7, tableAgesMs: () => ({operator: 400}),
		});
		metrics.requestEnded({
			requestId: 'r', digest: 'd', route: 'a', workspace: 'school', service: 'desk', endpoint: 'e', software: 'v1', resumes: 'q', peer: undefined,
			status: 200, attempts: 1, ms: 40, firstMs: 30, sentMs: 1, writtenMs: 3, lagMs: 900, catchUps: 1, waitedMs: 0, rank: 2, expectedMs: 20, leaveReason: 'slower',
			weights: 2, weightsAgeMs: 5800, begunWeightsAgeMs: 6100, isLeaving: false, reason: 'answered',
		});
		metrics.retryDecided('desk', true);
		metrics.retryDecided('desk', false);
		const text = await metrics.text();
		const page = readFileSync(new URL('../../../../docs/metrics.md', import.meta.url), 'utf8');
		for (const [name, help] of Object.entries(metricHelp)) {
			assert.include(text, `# HELP ${name} ${help}`);
			assert.include(page, `| \`${name}\` | ${help} |`);
		}

		assert.include(text, 'hickorywalk_requests_total{service="desk",result="answered"} 1');
		assert.include(text, 'hickorywalk_request_lag_seconds_bucket{le="0.8"} 0');
		assert.include(text, 'hickorywalk_request_lag_seconds_bucket{le="1.2"} 1');
		assert.include(text, 'hickorywalk_request_catch_ups_total 1');
		assert.include(text, 'hickorywalk_request_write_seconds_bucket{le="0.01",service="desk"} 1');
		assert.include(text, 'hickorywalk_begun_weights_age_seconds_bucket{le="4",service="desk"} 0');
		assert.include(text, 'hickorywalk_begun_weights_age_seconds_bucket{le="8",service="desk"} 1');
		assert.include(text, 'hickorywalk_requests_left_data_centre_total{service="desk",reason="slower"} 1');
		assert.include(text, 'hickorywalk_streams_resumed_total{service="desk",result="answered"} 1');
		assert.include(text, 'hickorywalk_retries_total{service="desk",result="granted"} 1');
		assert.include(text, 'hickorywalk_retries_total{service="desk",result="refused"} 1');
		assert.include(text, 'hickorywalk_retries_in_window{service="desk"} 4');
		assert.include(text, 'hickorywalk_retry_part 6');
		assert.include(text, 'hickorywalk_retry_part_holders 7');
		assert.include(text, 'hickorywalk_peers_heard 8');
		assert.include(text, 'hickorywalk_paths_lost 2');
		assert.include(text, 'hickorywalk_engines_waiting 28');
		assert.include(text, 'hickorywalk_engines_changing 14');
	});
});
