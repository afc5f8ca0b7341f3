/** Errors of reading traces. */
import {LayerError} from 'hickorywalk';

/** Thrown when a trace can't be read; the message names file, line and field. */
export class TraceInvalidError extends LayerError {
	readonly code = 'trace_invalid';
}
