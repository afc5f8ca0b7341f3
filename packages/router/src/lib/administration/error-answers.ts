/** Maps errors to answers: a status for each error code, and a body. */
import {
	ConfigurationConflictError, ConfigurationOutcomeUnknownError, DocumentInvalidError,
} from '../configuration/configuration-errors.js';
import {LayerError} from '../errors/layer-error.js';
import {RequestInvalidError} from './administration-errors.js';

/** HTTP status by error code; any other error is internal. */
const statuses: Record<string, number> = {
	request_invalid: 400,
	request_too_large: 413,
	operator_unknown: 401,
	operator_role: 403,
	not_found: 404,
	already_there: 409,
	order_not_unknown: 409,
	order_too_recent: 409,
	configuration_conflict: 412,
	document_invalid: 422,
	document_too_new: 422,
	version_required: 428,
	configuration_minority: 503,
	configuration_unavailable: 503,
	order_store_unavailable: 503,
	platform_unavailable: 503,
	configuration_outcome_unknown: 504,
};

/** Status and body of an error answer. */
export type ErrorAnswer = {
	status: number;
	body: {error: {code: string; message: string} & Record<string, unknown>};
};

/** Creates the answer to an error. The details of internal errors are not revealed. */
export function toErrorAnswer(err: unknown): ErrorAnswer {
	const status = err instanceof LayerError ? statuses[err.code] : undefined;
	if (!(err instanceof LayerError) || status === undefined) {
		return {status: 500, body: {error: {code: 'internal', message: 'The daemon met a fault of its own. Its log has the request id.'}}};
	}

	return {status, body: {error: {code: err.code, message: err.message, ...detailsOf(err)}}};
}

function detailsOf(err: LayerError): Record<string, unknown> {
	if (err instanceof ConfigurationConflictError) {
		return {currentVersion: err.currentVersion, theirs: err.theirs, yours: err.yours};
	}

	if (err instanceof ConfigurationOutcomeUnknownError) {
		return {version: err.version, token: err.token};
	}

	return err instanceof DocumentInvalidError || err instanceof RequestInvalidError ? {faults: err.faults} : {};
}
