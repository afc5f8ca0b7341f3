/**
 * The root of every error that this project throws on purpose.
 *
 * Each layer derives its own class and wraps what comes from the layer below
 * as `cause`, so that a caller never has to know errors of two layers down.
 */
export abstract class LayerError extends Error {
	/** A stable word that a program can act on, such as `platform_unavailable`. */
	abstract readonly code: string;

	constructor(message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
	}
}
