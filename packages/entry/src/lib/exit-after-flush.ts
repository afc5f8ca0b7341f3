/** Ends the process once its log is written, within a limit of time. */
import process from 'node:process';
import {type LogOutput} from './log-output.js';

/** Ends the process with `code`, or by SIGKILL if a write of the log is stuck, for which the runtime would wait without end. */
export async function exitAfterFlush(output: LogOutput, code: number): Promise<void> {
	if (await output.flush()) {
		// The last listener: the others end connections.
		process.on('exit', () => {
			process.kill(process.pid, 'SIGKILL');
		});
	}

	process.exit(code);
}
