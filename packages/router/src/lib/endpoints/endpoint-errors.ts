/** Errors of calls to endpoints. */
import {type EngineLoad} from '../serving/ports.js';
import {LayerError} from '../errors/layer-error.js';

/** No connection was established; no byte of the request was sent. */
export class EndpointUnreachableError extends LayerError {
	readonly code = 'endpoint_unreachable';
}

/** The connection broke, or the response is incomplete. */
export class EndpointBrokenError extends LayerError {
	readonly code = 'endpoint_broken';
}

/** Nothing was received within the time limit, though the connection is open. */
export class EndpointSilentError extends LayerError {
	readonly code = 'endpoint_silent';
}

/** The response belongs to another request, or was made with other weights than requested. */
export class EndpointCrossedError extends LayerError {
	readonly code = 'endpoint_crossed';
}

/** The endpoint refused the request before running anything; another one may accept it. */
export class EndpointRefusedError extends LayerError {
	readonly code = 'endpoint_refused';

	/** `load` is the load that the endpoint reported with its refusal. */
	constructor(message: string, readonly status: number, readonly load?: EngineLoad, options?: ErrorOptions) {
		super(message, options);
	}
}
