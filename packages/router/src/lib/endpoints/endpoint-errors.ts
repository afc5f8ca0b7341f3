/** Errors of the layer that speaks to endpoints. */
import {type EngineLoad} from '../serving/ports.js';
import {LayerError} from '../errors/layer-error.js';

/** No connection came about: no byte of the request left. */
export class EndpointUnreachableError extends LayerError {
	readonly code = 'endpoint_unreachable';
}

/** The connection broke, or the answer ended before its end was told. */
export class EndpointBrokenError extends LayerError {
	readonly code = 'endpoint_broken';
}

/** Nothing came for longer than allowed, though the connection stands. */
export class EndpointSilentError extends LayerError {
	readonly code = 'endpoint_silent';
}

/** The answer is another request's, or of weights that were not asked for. */
export class EndpointCrossedError extends LayerError {
	readonly code = 'endpoint_crossed';
}

/** The endpoint refused before running anything; another one may take it. */
export class EndpointRefusedError extends LayerError {
	readonly code = 'endpoint_refused';

	/** `load` is what the endpoint said of itself along with its refusal. */
	constructor(message: string, readonly status: number, readonly load?: EngineLoad, options?: ErrorOptions) {
		super(message, options);
	}
}
