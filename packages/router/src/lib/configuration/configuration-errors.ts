/** Errors of the configuration layer. */
import {LayerError} from '../errors/layer-error.js';
import {type DocumentChange} from './document-difference.js';

/** A validation fault of a document and the field that it concerns. */
export type DocumentFault = {
	/** Path of the field, such as `workspaces[2].keys[0].digest`. */
	path: string;
	message: string;
};

/** The document is invalid; nothing was changed. */
export class DocumentInvalidError extends LayerError {
	readonly code = 'document_invalid';

	constructor(readonly faults: DocumentFault[]) {
		super(`The document has ${faults.length} fault(s): ${faults.map(fault => `${fault.path}: ${fault.message}`).join('; ')}. Mend these fields and send it again.`);
	}
}

/** The layout of the document is newer than this build, or some daemon in service, supports. */
export class DocumentTooNewError extends LayerError {
	readonly code = 'document_too_new';
}

/** Another change was accepted first; this one changed nothing. */
export class ConfigurationConflictError extends LayerError {
	readonly code = 'configuration_conflict';

	/**
	 * @param expectedVersion The version that the proposal is based on.
	 * @param currentVersion The currently accepted version.
	 * @param theirs Changes by others since `expectedVersion`; empty when the history of that version is no longer kept.
	 * @param yours Changes that accepting the proposal now would make.
	 */
	constructor(
		readonly expectedVersion: number,
		readonly currentVersion: number,
		readonly theirs: DocumentChange[],
		readonly yours: DocumentChange[],
	) {
		const paths = theirs.map(change => change.path).join(', ');
		const changed = paths === '' ? '' : ` Since then these changed: ${paths}.`;
		super(`The document was made from version ${expectedVersion}, but version ${currentVersion} is accepted.${changed} Start from version ${currentVersion} and send it again.`);
	}
}

/**
 * The change may have been accepted: the table did not answer the write and
 * could not be read afterwards. Query the outcome with {@link ConfigurationStore.outcomeOf}.
 */
export class ConfigurationOutcomeUnknownError extends LayerError {
	readonly code = 'configuration_outcome_unknown';

	constructor(readonly version: number, readonly token: string, options?: ErrorOptions) {
		super(`The table gave no answer to version ${version}. Ask for the outcome of token ${token} before sending the document again.`, options);
	}
}

/** Nothing was changed: the store was unreachable before the change was written. */
export class ConfigurationUnavailableError extends LayerError {
	readonly code = 'configuration_unavailable';
}

/** Nothing was changed: this daemon receives heartbeats from too few of the listed daemons. */
export class ConfigurationMinorityError extends LayerError {
	readonly code = 'configuration_minority';

	constructor(heard: number, listed: number) {
		const advice = 'Send it to a daemon on the other side, or take the lost VMs off the platform\'s list.';
		super(`This daemon hears ${heard} of ${listed} listed daemons, itself included; a change needs more than half. ${advice}`);
	}
}

/** Stored or received sections are missing, unreadable or do not match their digest. */
export class SectionCorruptError extends LayerError {
	readonly code = 'section_corrupt';
}
