/** Settings of one daemon: where it is and what it binds. Everything else is in the fleet's document. */
import {readFile} from 'node:fs/promises';
import {operatorSchema} from 'hickorywalk/administration.js';
import {formatPath} from 'hickorywalk/configuration.js';
import {z} from 'zod';
import {SettingsError} from './daemon-errors.js';

const bindSchema = z.strictObject({
	host: z.string().default('127.0.0.1').describe('Address to bind.'),
	port: z.number().int().min(0).max(65_535).default(0).describe('Port to bind; 0 takes any free one.'),
});

const ms = (description: string, fallback: number) => z.number().int().positive().default(fallback).describe(`${description} Milliseconds.`);

/** Schema of a settings file. */
export const settingsSchema = z.strictObject({
	name: z.string().min(1).describe('Name of this daemon; that of its VM in the platform\'s list.'),
	dataCentre: z.string().min(1).describe('Data centre of this VM.'),
	region: z.string().min(1).default('local').describe('Region of the data centre.'),
	callers: bindSchema.prefault({}).describe('Where callers are served.'),
	peers: bindSchema.extend({
		advertise: z.string().optional().describe('Host and port by which other daemons reach this one, where they differ from what is bound.'),
	}).prefault({}).describe('Where other daemons are served. Fix the port: that it is free proves that an older process of this daemon is gone.'),
	administration: bindSchema.prefault({}).describe('Where operators are served.'),
	operators: z.array(operatorSchema).default([]).describe('Who may use the administration API.'),
	platform: z.strictObject({
		url: z.url().describe('Base URL of the platform\'s services.'),
		timeoutMs: ms('Longest wait for the platform\'s answer.', 2000),
	}),
	fleetSecret: z.string().min(16).describe('Secret that daemons show each other.'),
	gateway: z.strictObject({
		defaultOutputTokens: z.number().int().positive().default(1024).describe('Output bound of a request that names none, in tokens.'),
		largestOutputTokens: z.number().int().positive().default(16_384).describe('Largest output bound that a request may name, in tokens.'),
		largestBodyBytes: z.number().int().positive().default(16 * 1024 * 1024).describe('Largest body of a request for a model, in bytes.'),
		largestHeaderBytes: z.number().int().positive().default(16 * 1024).describe('Largest header section, in bytes.'),
		deadlineMs: ms('Deadline of a request that names none.', 120_000),
		longestTokenWaitMs: ms('Longest wait for tokens before a refusal.', 2000),
		longestTurnWaitMs: ms('Longest wait for a turn before a refusal.', 10_000),
		callerStallMs: ms('How long a caller may leave a full buffer unread.', 30_000),
		mostAttempts: z.number().int().positive().default(4).describe('Most endpoints that one request tries.'),
	}).prefault({}),
	engines: z.strictObject({
		connectMs: ms('Longest wait for a connection.', 500),
		firstByteMs: ms('Longest wait for the first byte of an answer.', 15_000),
		silenceMs: ms('Longest silence inside an answer.', 5000),
		slotsPerEndpoint: z.number().int().positive().default(8).describe('Requests that an endpoint runs well at once.'),
		probeMs: ms('Time between two load probes of one endpoint.', 1000),
		mostProbesPerSecond: z.number().int().positive().default(20).describe('Most load probes in a second, over all endpoints.'),
	}).prefault({}),
	queue: z.strictObject({
		mostWaitingPerWorkspace: z.number().int().positive().default(512).describe('Most requests of one workspace that wait for one service.'),
		inFlightSlack: z.number().min(1).default(2).describe('How much more than its even part of a service a daemon lets through.'),
		mostWaiting: z.number().int().positive().default(4096).describe('Most requests that wait for one service.'),
	}).prefault({}),
	fewestWarmUpMs: z.number().int().nonnegative().default(1000).describe('How long a starting daemon at least waits for peers that know more than the object store. Milliseconds.'),
	issuerWaitMs: ms('How long a starting daemon waits for a silent daemon that issues shares of rates.', 10_000),
	isolationLimitMs: ms('How long a daemon that is cut off from the store and from most others goes on taking keys.', 15_000),
	duties: z.strictObject({
		leaseMs: ms('How long a duty is held without renewal; the same on every daemon.', 30_000),
		marginMs: ms('How much earlier its holder stops, and how much longer others wait.', 5000),
		lingerMs: ms('How long an order to an endpoint may still take effect after it was sent.', 5000),
		loadTimeoutMs: ms('How long an endpoint may take to load weights.', 120_000),
	}).prefault({}).describe('Duties that one daemon holds at a time.'),
	drainMs: ms('How long a stopping daemon stays reachable after it reports unready.', 200),
	stopMs: ms('How long a stop may take; requests that are still under way then are cut.', 30_000),
	metrics: z.strictObject({
		host: z.string().describe('Host of the statsd service.'),
		port: z.number().int().min(1).max(65_535).default(8125).describe('Port of the statsd service.'),
	}).optional().describe('Where metrics go; without it they are dropped.'),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Least level that is logged.'),
});

/** Validated settings. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * Validates settings.
 *
 * @throws {SettingsError} with the path of every wrong field.
 */
export function parseSettings(input: unknown, source: string): Settings {
	const result = settingsSchema.safeParse(input);
	if (!result.success) {
		const faults = result.error.issues.map(issue => `${formatPath(issue.path)}: ${issue.message}`);
		throw new SettingsError(`${source} has ${faults.length} fault(s): ${faults.join('; ')}. See docs/reference/settings.md.`);
	}

	return result.data;
}

/**
 * Reads and validates a settings file.
 *
 * @throws {SettingsError} when it can't be read, is not valid JSON, or has a wrong field.
 */
export async function readSettings(file: string): Promise<Settings> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		throw new SettingsError(`Can't read the settings file ${file}. Give its path with --settings.`, {cause: error});
	}

	let input: unknown;
	try {
		input = JSON.parse(text);
	} catch (error) {
		throw new SettingsError(`${file} is not valid JSON: ${error instanceof Error ? error.message : ''}`, {cause: error});
	}

	return parseSettings(input, file);
}
