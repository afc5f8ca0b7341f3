/** Errors of reading traces. */
import {LayerError} from 'hickorywalk';

/** A trace can't be read; the text names file, line and field. */
export class TraceInvalidError extends LayerError {
	readonly code = 'trace_invalid';
}
