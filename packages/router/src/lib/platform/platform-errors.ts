/** Errors of the platform's table, object, weight and VM services. */
import {LayerError} from '../errors/layer-error.js';

/**
 * The service did not answer, or answered with a server error. `maybeApplied` is
 * true when a write may still have been applied: the caller must read back before
 * it acts.
 */
export class PlatformUnavailableError extends LayerError {
	readonly code = 'platform_unavailable';

	constructor(message: string, readonly maybeApplied: boolean, options?: ErrorOptions) {
		super(message, options);
	}
}

/** The answer of the service violates its contract. */
export class PlatformProtocolError extends LayerError {
	readonly code = 'platform_protocol';
}

/** The call itself is invalid, such as an empty key or a transaction without writes. */
export class PlatformRequestError extends LayerError {
	readonly code = 'platform_request';
}
