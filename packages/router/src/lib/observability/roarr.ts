/**
 * The logging library, switched on. It decides from the environment, once,
 * while it is being loaded; so it is loaded after the variable was set. A value
 * that the operator has set is left as it is.
 */
import process from 'node:process';

/** Whether the operator chose; if not, logs wait for `setLogWriter`. */
const isChosenByOperator = process.env.ROARR_LOG !== undefined;
process.env.ROARR_LOG ??= 'true';

export const {ROARR, Roarr} = await import('roarr');

if (!isChosenByOperator) {
	// A library is silent until its program asks for lines.
	ROARR.write = () => undefined;
}
