/** Slopes of service levels, metrics and logs. */
import {
	createLog, createMerge, createMetrics, createServiceLevels, intervalSchema, type ServiceLevelInterval, type ServiceLevels, setLogWriter,
} from 'hickorywalk/observability.js';
import {type ObjectClient} from 'hickorywalk/platform.js';
import {doublings, type SlopeDefinition} from './measure.js';
import {workspaceName} from './sample-fleet.js';

const role = 'service levels';
const rowSizes = doublings(100);

type Written = {bytes: number; content: Uint8Array};

function createSink(): {objects: ObjectClient; last: Written} {
	const last: Written = {bytes: 0, content: new Uint8Array()};
	const objects: ObjectClient = {
		async put(_name, content) {
			last.bytes = content.length;
			last.content = content;
			return true;
		},
		get: async () => undefined,
		list: async () => [],
		remove: async () => undefined,
	};
	return {objects, last};
}

/** Four requests of each workspace, as a daemon meets in a minute at the target size. */
function recordRows(levels: ServiceLevels, rows: number): void {
	for (let index = 0; index < rows * 4; index++) {
		levels.record({
			workspace: workspaceName(index % rows), service: 'model-1', result: 'answered', firstTokenMs: 80 + ((index * 37) % 500),
		});
	}
}

async function writeInterval(rows: number, sequence: string): Promise<Written> {
	const {objects, last} = createSink();
	const levels = createServiceLevels({daemon: 'hw-1', incarnation: sequence, objects});
	recordRows(levels, rows);
	await levels.flush();
	return last;
}

async function readInterval(rows: number, sequence: string): Promise<ServiceLevelInterval> {
	const {content} = await writeInterval(rows, sequence);
	return intervalSchema.parse(JSON.parse(new TextDecoder().decode(content)));
}

const recordingSlopes: SlopeDefinition[] = [
	{
		role,
		cost: 'record',
		per: 'request',
		unit: 'us',
		sizes: doublings(2000),
		measure(size) {
			const levels = createServiceLevels({daemon: 'hw-1', incarnation: '1', objects: createSink().objects});
			recordRows(levels, 1200);
			return {
				kind: 'time',
				work() {
					for (let index = 0; index < size; index++) {
						levels.record({
							workspace: workspaceName(index % 1200), service: 'model-1', result: 'answered', firstTokenMs: 80 + (index % 500),
						});
					}
				},
			};
		},
	},
	{
		role,
		cost: 'open interval held',
		per: 'row',
		unit: 'bytes',
		sizes: rowSizes,
		measure: size => ({
			kind: 'heap',
			build() {
				const levels = createServiceLevels({daemon: 'hw-1', incarnation: '1', objects: createSink().objects});
				recordRows(levels, size);
				return levels;
			},
		}),
	},
];

const writingSlopes: SlopeDefinition[] = [
	{
		role,
		cost: 'encode and write an interval',
		per: 'row',
		unit: 'us',
		sizes: rowSizes,
		measure(size) {
			let levels: ServiceLevels | undefined;
			return {
				kind: 'time',
				before() {
					levels = createServiceLevels({daemon: 'hw-1', incarnation: '1', objects: createSink().objects});
					recordRows(levels, size);
				},
				async work() {
					await levels?.flush();
				},
			};
		},
	},
	{
		role,
		cost: 'object of an interval',
		per: 'row',
		unit: 'bytes',
		sizes: rowSizes,
		async measure(size) {
			const {bytes} = await writeInterval(size, '1');
			return {kind: 'value', value: bytes};
		},
	},
	{
		role,
		cost: 'merge in an interval',
		per: 'row',
		unit: 'us',
		sizes: rowSizes,
		async measure(size) {
			const first = await readInterval(size, '1');
			const second = await readInterval(size, '2');
			let merge = createMerge();
			return {
				kind: 'time',
				before() {
					merge = createMerge();
					merge.add(first);
				},
				work() {
					merge.add(second);
				},
			};
		},
	},
];

const reportingSlopes: SlopeDefinition[] = [
	{
		role: 'logs',
		cost: 'write a line',
		per: 'line',
		unit: 'us',
		sizes: doublings(500),
		measure(size) {
			const log = createLog('gateway', {daemon: 'hw-1'});
			return {
				kind: 'time',
				work() {
					const restore = setLogWriter(() => undefined);
					for (let index = 0; index < size; index++) {
						log.info('Request answered.', {
							requestId: 'c0ffee', workspace: 'workspace-1', service: 'model-1', ms: index,
						});
					}

					restore();
				},
			};
		},
	},
	{
		role: 'metrics',
		cost: 'report to the agent\'s buffer',
		per: 'call',
		unit: 'us',
		sizes: doublings(500),
		measure(size) {
			const metrics = createMetrics();
			return {
				kind: 'time',
				work() {
					for (let index = 0; index < size; index++) {
						metrics.count('requests', 1, {workspace: workspaceName(index % 1200), result: 'answered'});
					}
				},
			};
		},
	},
];

export const observabilitySlopes: SlopeDefinition[] = [...recordingSlopes, ...writingSlopes, ...reportingSlopes];
