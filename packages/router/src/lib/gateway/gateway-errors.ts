/** What the gateway tells callers when it does not answer as asked. */
import {LayerError} from '../errors/layer-error.js';

/** Every refusal: its status, its type in the usual error object, and whether nothing ran. */
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

/** An answer other than the one that was asked for. */
export class GatewayError extends LayerError {
	constructor(
		readonly code: RefusalCode,
		message: string,
		/** Milliseconds after which the same request may pass. */
		readonly retryAfterMs?: number,
		options?: ErrorOptions,
	) {
		super(message, options);
	}
}

const msPerSecond = 1000;

/** The body of an error answer, in the form that client libraries expect. */
export function errorBody(error: GatewayError) {
	const {type, notRun} = refusals[error.code];
	return {
		error: {
			message: error.message, type, code: error.code, param: null, not_run: notRun,
		},
	};
}

/** Headers of an error answer. `Retry-After` counts whole seconds, the other milliseconds. */
export function errorHeaders(error: GatewayError): Record<string, string> {
	if (error.retryAfterMs === undefined) {
		return {};
	}

	const ms = Math.max(1, Math.ceil(error.retryAfterMs));
	return {'retry-after': String(Math.ceil(ms / msPerSecond)), 'retry-after-ms': String(ms)};
}
