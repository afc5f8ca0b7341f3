/** Sets the environment variable that enables the logging library; must run before the library is loaded. */
import process from 'node:process';

/** Whether the operator set the variable; if not, logs are discarded until `setLogWriter` is called. */
export const isSetByOperator = process.env.ROARR_LOG !== undefined;
process.env.ROARR_LOG ??= 'true';
