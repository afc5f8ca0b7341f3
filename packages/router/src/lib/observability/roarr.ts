/**
 * The logging library, switched on. It decides from the environment, once,
 * while it is being loaded; so the module that sets the variable comes first. A
 * value that the operator has set is left as it is.
 */
import {isChosenByOperator} from './roarr-switch.js';
import {ROARR} from 'roarr'; // eslint-disable-line import-x/order -- loaded second

if (!isChosenByOperator) {
	// A library is silent until its program asks for lines.
	ROARR.write = () => undefined;
}

export {ROARR, Roarr} from 'roarr';
