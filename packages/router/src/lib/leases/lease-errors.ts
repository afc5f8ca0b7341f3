/** Errors of the leases layer. */
import {LayerError} from '../errors/layer-error.js';

/** The leases' rows could not be read or written. Retried at the next tick. */
export class LeaseTableError extends LayerError {
	readonly code = 'lease_table';
}
