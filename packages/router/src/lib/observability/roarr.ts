/**
 * The logging library, enabled. It reads its environment variable once, while it
 * is loaded, so the module that sets the variable must be imported first. A value
 * set by the operator is kept.
 */
import {isSetByOperator} from './roarr-switch.js';
import {ROARR} from 'roarr'; // eslint-disable-line import-x/order -- must be loaded after roarr-switch.js

if (!isSetByOperator) {
	// Discards lines until the program calls `setLogWriter`.
	ROARR.write = () => undefined;
}

export {ROARR, Roarr} from 'roarr';
