/** What each role of a daemon costs at the target size, from measured slopes. */
import {type SlopeTable} from './slope-table.js';
import {perDaemon, targetSize} from './target-size.js';

/** How far a figure is from a run. */
export type Basis
	/** Slope measured, target size inside the measured sizes. */
	= | 'measured'
	/** Slope measured, target size or rate beyond what was run. */
		| 'extrapolated'
	/** Rests on a number that nobody measured; the row says which. */
		| 'assumed';

/** One role of one daemon. */
export type CapacityRow = {
	role: string;
	state: string;
	messages: string;
	mechanism: string;
	basis: Basis;
	/** Share of one core. */
	coreShare: (slopes: SlopeTable) => number;
	/** Bytes of memory above the process's base. */
	memory: (slopes: SlopeTable) => number;
	/** Bytes a second over the network, sent and received. */
	bytesPerSecond: (slopes: SlopeTable) => number;
};

const us = 1e-6;
const intervalSeconds = 300;

/** Every workspace calls within five minutes, one service in a row. */
const rows = targetSize.workspaces;

const none = (): number => 0;

const documentCost = (slopes: SlopeTable, cost: string): number =>
	(slopes.slope('configuration', cost, 'workspace') * targetSize.workspaces) + (slopes.slope('configuration', cost, 'endpoint') * targetSize.replicas);

/** The roles that count as control. */
export const controlRows: CapacityRow[] = [
	{
		role: 'configuration, as a whole document',
		state: 'the document in force',
		messages: `the whole document at each of ${perDaemon.configurationChangesPerSecond.toFixed(2)} changes a second`,
		mechanism: 'read from the store and checked as a whole',
		basis: 'measured',
		coreShare: slopes => documentCost(slopes, 'read and check the document') * us * perDaemon.configurationChangesPerSecond,
		memory: slopes => documentCost(slopes, 'document held'),
		bytesPerSecond: slopes => documentCost(slopes, 'JSON of the document') * perDaemon.configurationChangesPerSecond,
	},
	{
		role: 'service levels, recording',
		state: `one histogram and five counts for each of ${rows} workspaces; a second set while one is written`,
		messages: `one object each ${intervalSeconds} s`,
		mechanism: 'mergeable histograms, flushed by interval',
		basis: 'assumed',
		coreShare(slopes) {
			const recording = slopes.slope('service levels', 'record', 'request') * perDaemon.requestsPerSecond;
			const writing = slopes.slope('service levels', 'encode and write an interval', 'row') * rows / intervalSeconds;
			return us * (recording + writing);
		},
		memory: slopes => 2 * rows * slopes.slope('service levels', 'open interval held', 'row'),
		bytesPerSecond: slopes => rows * slopes.slope('service levels', 'object of an interval', 'row') / intervalSeconds,
	},
	{
		role: 'service levels, merging',
		state: 'one merge at a time',
		messages: 'each interval is read once more, and a tenth of it again',
		mechanism: 'merges by ten minutes and by hours, spread over daemons',
		basis: 'assumed',
		coreShare: slopes => us * 1.1 * rows * slopes.slope('service levels', 'merge in an interval', 'row') / intervalSeconds,
		memory: slopes => rows * slopes.slope('service levels', 'open interval held', 'row'),
		bytesPerSecond: slopes => 1.2 * rows * slopes.slope('service levels', 'object of an interval', 'row') / intervalSeconds,
	},
];

/** What operators see costs too; it goes to the agent beside the daemon, so it is kept apart. */
export const telemetryRows: CapacityRow[] = [
	{
		role: 'logs',
		state: 'none',
		messages: 'one line of 300 bytes a request, to standard output',
		mechanism: 'JSON lines',
		basis: 'assumed',
		coreShare: slopes => us * perDaemon.requestsPerSecond * slopes.slope('logs', 'write a line', 'line'),
		memory: none,
		bytesPerSecond: none,
	},
	{
		role: 'metrics',
		state: 'at most 2,048 values of each of five tags',
		messages: 'four metrics of 60 bytes a request, as datagrams to the agent',
		mechanism: 'StatsD datagrams of up to 1,400 bytes',
		basis: 'assumed',
		coreShare: slopes => us * perDaemon.requestsPerSecond * 4 * slopes.slope('metrics', 'report to the agent\'s buffer', 'call'),
		memory: none,
		bytesPerSecond: () => perDaemon.requestsPerSecond * 4 * 60,
	},
];

/** What serving itself costs, for comparison. */
export const dataPathRows: CapacityRow[] = [
	{
		role: 'reading answers',
		state: 'one reader a stream',
		messages: `${Math.round(perDaemon.tokensPerSecond)} events a second, one a token`,
		mechanism: 'parser of server-sent events',
		basis: 'extrapolated',
		coreShare: slopes => us * perDaemon.tokensPerSecond * slopes.slope('data path', 'read server-sent events', 'event'),
		memory: none,
		bytesPerSecond: () => perDaemon.tokensPerSecond * 110,
	},
	{
		role: 'hashing prompts',
		state: 'none',
		messages: 'prompts of 16 KB',
		mechanism: 'chained XXH64 over whole pieces',
		basis: 'assumed',
		coreShare: slopes => us * perDaemon.requestsPerSecond * 16 * slopes.slope('data path', 'hash the prompt\'s pieces', 'KB of prompt'),
		memory: none,
		bytesPerSecond: () => perDaemon.requestsPerSecond * 16_000,
	},
];
