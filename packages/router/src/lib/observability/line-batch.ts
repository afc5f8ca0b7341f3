/** Writes log lines in batches, since a system call per line costs more than formatting the line. */

/** Options of {@link createLineBatch}. */
export type LineBatchOptions = {
	/** Receives one or more lines, each ending in a line feed. */
	write: (text: string) => void;
	/** Maximum time in milliseconds that a line is buffered. */
	flushMs: number;
	/** Batch length in characters at which the batch is written immediately. */
	maxChars: number;
};

/** A buffer of log lines. */
export type LineBatch = {
	/** Adds a line, without its line feed. */
	add: (line: string) => void;
	/** Writes the buffered lines. */
	flush: () => void;
};

/** Creates an empty batch. A timer runs only while lines are buffered. */
export function createLineBatch({write, flushMs, maxChars}: LineBatchOptions): LineBatch {
	let text = '';
	let timer: NodeJS.Timeout | undefined;

	const flush = (): void => {
		clearTimeout(timer);
		timer = undefined;
		if (text !== '') {
			const batch = text;
			text = '';
			write(batch);
		}
	};

	return {
		add(line) {
			text += `${line}\n`;
			if (text.length >= maxChars) {
				flush();
			} else {
				timer ??= setTimeout(flush, flushMs);
			}
		},
		flush,
	};
}
