/** Sets the variable by which the logging library decides, before the library is loaded. */
import process from 'node:process';

/** Whether the operator chose; if not, logs wait for `setLogWriter`. */
export const isChosenByOperator = process.env.ROARR_LOG !== undefined;
process.env.ROARR_LOG ??= 'true';
