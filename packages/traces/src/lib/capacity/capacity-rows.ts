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

/** What a slope per workspace and one per endpoint come to for the target's document. */
const documentCost = (slopes: SlopeTable, cost: string): number =>
	(slopes.slope('configuration', cost, 'workspace') * targetSize.workspaces) + (slopes.slope('configuration', cost, 'endpoint') * targetSize.replicas);

/**
 * Links to issuers of shares. In the 10 s for which a holder keeps idle shares,
 * 78 requests a second touch 576 of 1,200 workspaces, these 229 of 256 shards,
 * and these 193 of 650 daemons, if all are drawn evenly.
 */
const issuerLinks = 193;

/** Mean links that heartbeats keep open at 650 daemons; `npm run bench -- membership`, docs/design/membership.md. */
const heartbeatLinks = 6.9;

/** A ping has 15 bytes of its own, 14 of HTTP/2 and the stream's envelope, and 40 of TCP and IP; one a second each way. */
const pingBytesPerLink = 2 * (15 + 14 + 40);

/** Heads of the configuration: two a second, 60 bytes with what carries them. */
const headBytesPerSecond = 2 * 60;

/** The default of a daemon's settings, and a guess of what one call over HTTP costs. */
const probesPerSecond = 20;
const probeUs = 1000;
const probeBytes = 600;

const exchangeSeconds = 20;

const configurationRows: CapacityRow[] = [
	{
		role: 'configuration',
		state: 'the document by sections, with their digests, in two versions while a change is applied',
		messages: `one changed section at each of ${perDaemon.configurationChangesPerSecond.toFixed(2)} changes a second; heads`,
		mechanism: 'content-addressed sections from peers, heads read by few',
		basis: 'assumed',
		coreShare: slopes => documentCost(slopes, 'apply a change of one workspace') * us * perDaemon.configurationChangesPerSecond,
		memory: slopes => documentCost(slopes, 'two versions held'),
		bytesPerSecond: slopes => (slopes.slope('configuration', 'message of a change', 'changed workspace') * perDaemon.configurationChangesPerSecond) + headBytesPerSecond,
	},
	{
		role: 'keys',
		state: 'digests of one key for each workspace',
		messages: 'none; the ring is built anew with each version and asked at each request',
		mechanism: 'index by digest',
		basis: 'measured',
		coreShare(slopes) {
			const building = slopes.slope('keys', 'build the ring', 'key') * targetSize.workspaces * perDaemon.configurationChangesPerSecond;
			return us * (building + (slopes.slope('keys', 'look up', 'request') * perDaemon.requestsPerSecond));
		},
		memory: slopes => 2 * slopes.slope('keys', 'ring held', 'key') * targetSize.workspaces,
		bytesPerSecond: none,
	},
];

const linkRows: CapacityRow[] = [
	{
		role: 'links for heartbeats',
		state: `${heartbeatLinks} streams (memory not measured)`,
		messages: 'one ping and one batch a second each way',
		mechanism: 'few neighbours; one long-lived stream for two daemons, batches by tick',
		basis: 'measured',
		coreShare: slopes => us * heartbeatLinks * slopes.slope('links', 'one end of a link in a second, one message each way', 'link'),
		memory: none,
		bytesPerSecond: () => heartbeatLinks * pingBytesPerLink,
	},
	{
		role: 'heartbeats',
		state: 'a record of each of 650 daemons (memory not measured)',
		messages: 'counters of all daemons through neighbours, whole states on change',
		mechanism: 'ring with chords in a data centre, representatives between them',
		basis: 'extrapolated',
		coreShare: slopes => us * targetSize.daemons * slopes.slope('heartbeats', 'work of one daemon in a second', 'daemon of the fleet'),
		memory: none,
		bytesPerSecond: slopes => targetSize.daemons * slopes.slope('heartbeats', 'messages of one daemon in a second', 'daemon of the fleet'),
	},
	{
		role: 'links to issuers of shares',
		state: `${issuerLinks} streams to as many daemons, as many from holders (memory not measured)`,
		messages: 'one ping and one batch a second each way',
		mechanism: 'one issuer for each of 256 shards of workspaces',
		basis: 'extrapolated',
		coreShare: slopes => us * issuerLinks * slopes.slope('links', 'one end of a link in a second, one message each way', 'link'),
		memory: none,
		bytesPerSecond: () => issuerLinks * pingBytesPerLink,
	},
];

const limitRows: CapacityRow[] = [
	{
		role: 'rates and bursts',
		state: 'shares of 1,200 workspaces, as holder and as issuer',
		messages: 'wishes and grants, both ways; what a daemon gives out as an issuer comes on top, as much again',
		mechanism: 'shares that move between holder and issuer, no table write a request',
		basis: 'assumed',
		coreShare: slopes => us * perDaemon.requestsPerSecond * slopes.slope('limits', 'reserve and settle', 'request'),
		memory: slopes => targetSize.workspaces * slopes.slope('limits', 'state of holder and issuer', 'workspace'),
		bytesPerSecond: slopes => 2 * perDaemon.requestsPerSecond * slopes.slope('limits', `messages with the issuer in ${exchangeSeconds} s, both ways`, 'request a second') / exchangeSeconds,
	},
];

const placementRows: CapacityRow[] = [
	{
		role: 'placement',
		state: '12,000 endpoints and 32,768 remembered prefix levels; no map of blocks',
		messages: 'none of its own: it learns from answers',
		mechanism: 'computed homes of nested prefixes, corrected by answers',
		basis: 'extrapolated',
		coreShare: slopes => us * perDaemon.requestsPerSecond * slopes.slope('placement', 'place, start and finish, with 12,000 endpoints', 'request'),
		memory(slopes) {
			const endpoints = targetSize.replicas * slopes.slope('placement', 'state', 'endpoint');
			return endpoints + (32_768 * slopes.slope('placement', 'remembered prefixes', 'prefix level'));
		},
		bytesPerSecond: none,
	},
	{
		role: 'load probes',
		state: 'none of its own',
		messages: `at most ${probesPerSecond} a second over all endpoints; 1 ms and 600 bytes each are guesses`,
		mechanism: 'a bounded number of probes, the rest learned from answers',
		basis: 'assumed',
		coreShare: () => us * probesPerSecond * probeUs,
		memory: none,
		bytesPerSecond: () => probesPerSecond * probeBytes,
	},
];

const serviceLevelRows: CapacityRow[] = [
	{
		role: 'service levels, recording',
		state: `one histogram and five counts for each of ${rows} workspaces, and the object being written`,
		messages: `one object each ${intervalSeconds} s`,
		mechanism: 'mergeable histograms, flushed by interval',
		basis: 'assumed',
		coreShare(slopes) {
			const recording = slopes.slope('service levels', 'record', 'request') * perDaemon.requestsPerSecond;
			const writing = slopes.slope('service levels', 'encode and write an interval', 'row') * rows / intervalSeconds;
			return us * (recording + writing);
		},
		memory: slopes => rows * (slopes.slope('service levels', 'open interval held', 'row') + (2 * slopes.slope('service levels', 'object of an interval', 'row'))),
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

/** The roles that count as control. */
export const controlRows: CapacityRow[] = [...configurationRows, ...linkRows, ...limitRows, ...placementRows, ...serviceLevelRows];

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
