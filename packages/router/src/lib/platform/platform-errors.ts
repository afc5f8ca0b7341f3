/** Errors of the platform's table, object, weight and VM services. */
import {LayerError} from '../errors/layer-error.js';

/**
 * The service gave no usable answer. `maybeApplied` is true when a write may
 * have taken effect all the same: the caller must read back before it acts.
 */
export class PlatformUnavailableError extends LayerError {
	readonly code = 'platform_unavailable';

	constructor(message: string, readonly maybeApplied: boolean, options?: ErrorOptions) {
		super(message, options);
	}
}

/** The service answered with something that its contract does not allow. */
export class PlatformProtocolError extends LayerError {
	readonly code = 'platform_protocol';
}

/** The call itself is wrong: an empty key, a transaction without writes. */
export class PlatformRequestError extends LayerError {
	readonly code = 'platform_request';
}
