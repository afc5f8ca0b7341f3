/** Errors of the leases layer. */
import {LayerError} from '../errors/layer-error.js';

/** The table could not be used for the leases' rows. Tried again at the next tick. */
export class LeaseTableError extends LayerError {
	readonly code = 'lease_table';
}
