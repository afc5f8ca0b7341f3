/**
 * Base class of all errors that this project throws deliberately.
 *
 * Each layer derives its own classes and wraps errors of the layer below as
 * `cause`, so that callers only handle errors of the layer that they call.
 */
export abstract class LayerError extends Error {
	/** Stable machine-readable error code, such as `platform_unavailable`. */
	abstract readonly code: string;

	constructor(message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
	}
}
