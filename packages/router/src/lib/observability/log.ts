/**
 * Structured logs as JSON lines: a fixed sentence, prefixed with the component's
 * name, and a context.
 *
 * Variable data goes into the context, whose fields are a closed list. There is
 * no field for API keys or prompts, so neither can get into a log.
 */
import {LayerError} from '../errors/layer-error.js';
import {ROARR, Roarr} from './roarr.js';

/** The context fields that a line may have. All others are dropped. */
export const logFields = [
	/** Identifies one request from the caller to the endpoint. */
	'requestId',
	/** Digest of a request's workspace, path and body; equal for repeated requests. */
	'digest',
	'daemon',
	'dataCentre',
	'workspace',
	/** Public id of an API key, never the key itself. */
	'keyId',
	'operator',
	'service',
	'endpoint',
	'vm',
	'peer',
	'version',
	'incarnation',
	'result',
	'status',
	/** Duration of the event in milliseconds. */
	'ms',
	/** Milliseconds after which something is given up. */
	'limitMs',
	/** Actual and expected milliseconds to the first byte of a response. */
	'firstMs',
	'expectedMs',
	/** Why a request was sent to another data centre. */
	'leaveReason',
	/** Milliseconds to the latest dispatch of a request to an endpoint. */
	'sentMs',
	/** Milliseconds to its first byte on a connection, and how old socket events may have been that were unread when it was handled. */
	'writtenMs',
	'lagMs',
	/** Milliseconds for which a request waited until an endpoint could take it. */
	'waitedMs',
	'count',
	/** Requests that a stop has refused, and those that it has cut. */
	'refused',
	'cut',
	/** Requests that an engine runs, and what becomes of them when it is ordered to load weights. */
	'running',
	'runs',
	'bytes',
	/** Bytes of memory by holder, and the limit of the whole. */
	'requestBytes',
	'bufferedBytes',
	'externalBytes',
	'residentBytes',
	'limitBytes',
	/** Requests and connections that are open, and requests that wait. */
	'open',
	'connections',
	'waiting',
	'tokens',
	/** Units requested from a quota, and units remaining for the fleet and for this daemon. */
	'units',
	'level',
	'own',
	/** Requests and repeats of a service that a daemon counts against its retry budget. */
	'requests',
	'repeats',
	'order',
	/** Software version of an endpoint, and id of the caller's earlier attempt whose stream a request resumes. */
	'software',
	'resumes',
	/** Keys of the prompt parts that a request shares with others, and suspects whose answer had no event. */
	'parts',
	'unbegun',
	/** Weights version that a decision assumed, and milliseconds since that version was replaced. */
	'weights',
	'weightsAgeMs',
	/** The same when the answer began. */
	'begunWeightsAgeMs',
	/** An endpoint's response says that the endpoint is leaving. */
	'isLeaving',
	/** Milliseconds for which an endpoint wants no requests. */
	'backoffMs',
	'path',
	/** IP:PORT to which a server of this process binds. */
	'address',
	'attempt',
	'reason',
] as const;

export type LogField = typeof logFields[number];

/** Structured data of a log line. */
export type LogContext = Partial<Record<LogField, string | number | boolean | undefined>> & {
	/** Only class and code are logged; see {@link describeError}. */
	err?: unknown;
};

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

type WriteLevel = (sentence: string, context?: LogContext) => void;

/** Log of one component. Sentences are constant; variable data goes into the context. */
export type Log = Record<LogLevel, WriteLevel> & {
	/** Creates a log that adds `context` to every line. */
	child: (context: LogContext) => Log;
};

/** Writes one line, given without its line feed. */
export type LogWriter = (line: string) => void;

/**
 * Creates the log of one component.
 *
 * @param component Name of the component; messages start with `[component] `.
 * @param context Fields that are added to every line.
 *
 * @example
 * const log = createLog('gateway');
 * log.info('Request answered.', {requestId: 'a1', workspace: 'school-1', ms: 12});
 */
export function createLog(component: string, context: LogContext = {}): Log {
	const write = (level: LogLevel, sentence: string, more: LogContext = {}): void => {
		// Escapes `%`, since the logging library expands printf patterns.
		const text = `[${component}] ${sentence}`.replaceAll('%', '%%');
		Roarr[level](pickFields({...context, ...more}), text);
	};

	return {
		debug(sentence, more) {
			write('debug', sentence, more);
		},
		info(sentence, more) {
			write('info', sentence, more);
		},
		warn(sentence, more) {
			write('warn', sentence, more);
		},
		error(sentence, more) {
			write('error', sentence, more);
		},
		child: more => createLog(component, {...context, ...more}),
	};
}

/** Creates a log that writes nothing, for tests and as a default. */
export function createSilentLog(): Log {
	const noop = (): void => {
		// Discards the line.
	};

	return {
		debug: noop, info: noop, warn: noop, error: noop, child: createSilentLog,
	};
}

const levelNumbers: Record<LogLevel, number> = {
	debug: 20, info: 30, warn: 40, error: 50,
};

/**
 * Sends the lines of all logs in this process to `write`. The logging library
 * has one writer per process.
 *
 * @param minLevel Lines below this level are dropped.
 * @returns a function that restores the previous writer.
 */
export function setLogWriter(write: LogWriter, minLevel: LogLevel = 'info'): () => void {
	const previous = {write: ROARR.write, serializeMessage: ROARR.serializeMessage};
	ROARR.serializeMessage = message => {
		const level = Number(message.context.logLevel ?? 0);
		return level < levelNumbers[minLevel] ? '' : JSON.stringify(message);
	};

	ROARR.write = line => {
		if (line !== '') {
			write(line);
		}
	};

	return () => {
		ROARR.write = previous.write;
		ROARR.serializeMessage = previous.serializeMessage;
	};
}

const knownFields = new Set<string>(logFields);
const maxValueLength = 200;

/**
 * Picks the allowed fields by name and truncates long strings. Types do not protect
 * against plain JavaScript and casts: if a caller passed a whole request by
 * mistake, its API key would end up in the log.
 */
function pickFields(context: LogContext): Record<string, string | number | boolean> {
	const picked: Record<string, string | number | boolean> = {};
	for (const [field, value] of Object.entries(context)) {
		if (field === 'err') {
			Object.assign(picked, describeError(value));
			continue;
		}

		if (!knownFields.has(field)) {
			continue;
		}

		if (typeof value === 'string') {
			picked[field] = value.slice(0, maxValueLength);
		} else if (typeof value === 'number' || typeof value === 'boolean') {
			picked[field] = value;
		}
	}

	return picked;
}

/**
 * Describes an error by class and code, and its cause by code or class. Messages
 * are omitted, since those of other libraries may hold secrets: `JSON.parse` quotes
 * its input, which may be a prompt, and URL errors quote a query that may hold a key.
 */
export function describeError(err: unknown): {error: string; errorCode?: string; cause?: string} {
	if (!(err instanceof Error)) {
		return {error: typeof err};
	}

	const code = err instanceof LayerError ? err.code : errorCodeOf(err);
	return {
		error: err.name,
		...(code !== undefined && {errorCode: code}),
		...(err.cause instanceof Error && {cause: errorCodeOf(err.cause) ?? err.cause.name}),
	};
}

/** Returns an error code of the runtime, such as `ECONNRESET`. */
function errorCodeOf(err: Error): string | undefined {
	return 'code' in err && typeof err.code === 'string' ? err.code.slice(0, maxValueLength) : undefined;
}
