/** Parses log lines of daemons. */

/** The parsed fields of a log line. */
export type LogLine = {
	/** Unix milliseconds. */
	time: number;
	message: string;
	context: Record<string, string | number | boolean | undefined>;
};

/** Whether a line reports the end of a request. */
export const isRequestEnd = ({message}: LogLine): boolean => message.endsWith('Request ended.');

/** Parses a line, skipping the prefix of a log collector; returns `undefined` for lines of other programs. */
export function parseLogLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const line = JSON.parse(text.slice(start)) as Partial<LogLine>;
		return typeof line.time === 'number' && typeof line.message === 'string' && typeof line.context === 'object' ? line as LogLine : undefined;
	} catch {
		// Other programs write to the same log; their lines are skipped.
		return undefined;
	}
}
