/** Errors of the administration API itself. */
import {type DocumentFault} from '../configuration/configuration-errors.js';
import {LayerError} from '../errors/layer-error.js';

/** The request carries no key of an operator. */
export class OperatorUnknownError extends LayerError {
	readonly code = 'operator_unknown';

	constructor() {
		super('Send an operator key as "Authorization: Bearer KEY". Keys of callers are not taken here.');
	}
}

/** The operator has the role `read`, and the route needs the role `change`. */
export class OperatorRoleError extends LayerError {
	readonly code = 'operator_role';

	constructor(operator: string) {
		super(`Operator "${operator}" may read only. Ask one with the role "change".`);
	}
}

/** The request does not match the schema of its route. */
export class RequestInvalidError extends LayerError {
	readonly code = 'request_invalid';

	constructor(readonly faults: DocumentFault[]) {
		super(`The request has ${faults.length} fault(s): ${faults.map(fault => `${fault.path}: ${fault.message}`).join('; ')}. See /v1/openapi.json.`);
	}
}

/** The request lacks a valid If-Match header with the version that the change is based on. */
export class VersionRequiredError extends LayerError {
	readonly code = 'version_required';

	constructor() {
		super('Send the version that the change was made from as If-Match: "VERSION", with quotes, as the ETag gave it; "0" before the first.');
	}
}

/** The requested resource does not exist. */
export class NotFoundError extends LayerError {
	readonly code = 'not_found';
}

/** A resource of this name exists already. */
export class AlreadyThereError extends LayerError {
	readonly code = 'already_there';
}
