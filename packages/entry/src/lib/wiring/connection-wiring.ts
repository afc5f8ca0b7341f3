/**
 * Divides the process's descriptors among its servers, and gives their connections turns.
 *
 * Limit of the platform = files (`fileDescriptors`) + connections to endpoints, peers and the store + those of the servers.
 */
import {createLineBudget, type LineBudget} from 'hickorywalk/observability.js';
import {
	type ConnectionTurns, createConnectionTurns, limitConnections, type LimitServer, type ServerLimits,
} from 'hickorywalk/forwarding.js';
import {unfinishedHeadBytes} from './memory-wiring.js';
import {type EntryParts} from './parts.js';

/** The servers of a process. */
export type ServerName = 'callers' | 'readiness' | 'metrics' | 'relay';

/** Limits the connections of each server. */
export type ServerLimiters = Record<ServerName, LimitServer>;

/** Descriptors that the platform reserves for files. */
const fileDescriptors = 200;

/** Fraction of the other descriptors for connections that the servers accept. */
const acceptedRatio = 0.85;

/** Fractions of these for each server but that of callers, which gets the rest; a load balancer or collector holds few connections. */
const acceptedShares = {
	readiness: {ratio: 0.1, max: 256}, metrics: {ratio: 0.02, max: 64}, relay: {ratio: 0.15, max: 512},
} as const;

/** Log lines about closed connections, per second and kind. */
const closedLinesPerSecond = 2;

const createClosedLines = (): LineBudget => createLineBudget({perSecond: {other: closedLinesPerSecond}});

/** Upper bounds on open connections. */
export function maxConnectionsOf(maxDescriptors: number): Record<ServerName, number> {
	const total = Math.max(fileDescriptors, maxDescriptors - fileDescriptors) * acceptedRatio;
	const shareOf = ({ratio, max}: {ratio: number; max: number}): number => Math.floor(Math.min(max, Math.max(1, total * ratio)));
	const others = {readiness: shareOf(acceptedShares.readiness), metrics: shareOf(acceptedShares.metrics), relay: shareOf(acceptedShares.relay)};
	return {...others, callers: Math.floor(total) - others.readiness - others.metrics - others.relay};
}

/** Creates the turns of all connections. */
export function wireConnectionTurns({
	settings, eventLoopLag, metrics, log,
}: EntryParts): ConnectionTurns {
	const lines = createClosedLines();
	return createConnectionTurns({
		turnOf: eventLoopLag.recordTurn,
		maxWaitingBytes: unfinishedHeadBytes(settings),
		onClosed({bytes, count}) {
			metrics.connectionsClosed('any', 'expensive', 1);
			if (lines.take('expensive')) {
				log.warn('Connection was closed, since what has arrived on all takes too long to handle.', {bytes, count});
			}
		},
	});
}

/** Creates the limits of each server. */
export function wireServerLimiters({
	settings, turns, metrics, log,
}: EntryParts): ServerLimiters {
	const maxConnections = maxConnectionsOf(settings.maxDescriptors);
	const lines = createClosedLines();

	const limiterOf = (name: ServerName, limits: Omit<ServerLimits, 'maxConnections'>): LimitServer => app => limitConnections(app, {
		...limits,
		maxConnections: maxConnections[name],
		turns,
		onClosed(reason, count) {
			metrics.connectionsClosed(name, reason, count);
			if (lines.take(`${name} ${reason}`)) {
				log.warn('Connections were closed, since a limit of their server was reached.', {path: name, reason, count});
			}
		},
	});

	const small = {maxPipelined: 8, maxPipelinedTotal: 64, isMetered: true};
	return {
		// Most requests take a little longer on metered connections.
		callers: limiterOf('callers', {maxPipelined: 32, maxPipelinedTotal: 512, isMetered: false}),
		readiness: limiterOf('readiness', small),
		metrics: limiterOf('metrics', small),
		relay: limiterOf('relay', {maxPipelined: 32, maxPipelinedTotal: 512, isMetered: true}),
	};
}
