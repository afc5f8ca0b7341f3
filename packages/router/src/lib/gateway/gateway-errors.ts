/** Error responses of the gateway. */
import {LayerError} from '../errors/layer-error.js';

/** HTTP status and error type of each error code, and whether it guarantees that nothing was run. */
export const refusals = {
	invalid_request: {status: 400, type: 'invalid_request_error', notRun: true},
	invalid_api_key: {status: 401, type: 'authentication_error', notRun: true},
	service_forbidden: {status: 403, type: 'permission_error', notRun: true},
	model_not_found: {status: 404, type: 'invalid_request_error', notRun: true},
	service_not_found: {status: 404, type: 'invalid_request_error', notRun: true},
	request_too_large: {status: 413, type: 'invalid_request_error', notRun: true},
	burst_exceeded: {status: 400, type: 'invalid_request_error', notRun: true},
	rate_limited: {status: 429, type: 'rate_limit_error', notRun: true},
	overloaded: {status: 503, type: 'overloaded_error', notRun: true},
	no_endpoint: {status: 503, type: 'overloaded_error', notRun: true},
	not_ready: {status: 503, type: 'overloaded_error', notRun: true},
	engine_failed: {status: 502, type: 'server_error', notRun: false},
	deadline_exceeded: {status: 504, type: 'server_error', notRun: false},
	internal_error: {status: 500, type: 'server_error', notRun: false},
} as const;

export type RefusalCode = keyof typeof refusals;

/** An error that is sent to the caller. */
export class GatewayError extends LayerError {
	constructor(
		readonly code: RefusalCode,
		message: string,
		/** Milliseconds after which a retry may succeed. */
		readonly retryAfterMs?: number,
		options?: ErrorOptions,
	) {
		super(message, options);
	}
}

const msPerSecond = 1000;

/** The body of an error response, in the format that client libraries expect. */
export function errorBody(error: GatewayError) {
	const {type, notRun} = refusals[error.code];
	return {
		error: {
			message: error.message, type, code: error.code, param: null, not_run: notRun,
		},
	};
}

/** Headers of an error response: `Retry-After` in whole seconds, `Retry-After-Ms` in milliseconds. */
export function errorHeaders(error: GatewayError): Record<string, string> {
	if (error.retryAfterMs === undefined) {
		return {};
	}

	const ms = Math.max(1, Math.ceil(error.retryAfterMs));
	return {'retry-after': String(Math.ceil(ms / msPerSecond)), 'retry-after-ms': String(ms)};
}
