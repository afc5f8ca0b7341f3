/** Errors of the limits layer. */
import {LayerError} from '../errors/layer-error.js';

/** Reading or writing the limits' rows in the table failed. The operation is retried by a later tick. */
export class LimitsTableError extends LayerError {
	readonly code = 'limits_table';
}

/** A row has a layout that this build does not support; another build wrote it. */
export class LimitsRowError extends LayerError {
	readonly code = 'limits_row';
}
