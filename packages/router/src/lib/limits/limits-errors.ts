/** Errors of the limits layer. */
import {LayerError} from '../errors/layer-error.js';

/** The table could not be used for the limits' rows. Tried again at the next tick. */
export class LimitsTableError extends LayerError {
	readonly code = 'limits_table';
}

/** A row that another build wrote in a layout that this one does not know. */
export class LimitsRowError extends LayerError {
	readonly code = 'limits_row';
}
