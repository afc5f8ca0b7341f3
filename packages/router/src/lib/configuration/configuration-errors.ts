/** Errors of the configuration layer. */
import {LayerError} from '../errors/layer-error.js';
import {type DocumentChange} from './document-difference.js';

/** One fault of a document, at the field where it was found. */
export type DocumentFault = {
	/** Path of the field, such as `workspaces[2].keys[0].digest`. */
	path: string;
	message: string;
};

/** The document does not hold together; nothing was changed. */
export class DocumentInvalidError extends LayerError {
	readonly code = 'document_invalid';

	constructor(readonly faults: DocumentFault[]) {
		super(`The document has ${faults.length} fault(s): ${faults.map(fault => `${fault.path}: ${fault.message}`).join('; ')}. Mend these fields and send it again.`);
	}
}

/** The document is of a layout that this build does not know. */
export class DocumentTooNewError extends LayerError {
	readonly code = 'document_too_new';
}

/** Another change was accepted first; nothing was changed by this one. */
export class ConfigurationConflictError extends LayerError {
	readonly code = 'configuration_conflict';

	/**
	 * @param expectedVersion The version that the proposal was made from.
	 * @param currentVersion The version that is accepted now.
	 * @param theirs What others changed since `expectedVersion`; empty when that version is no longer kept.
	 * @param yours What accepting the proposal now would change.
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
 * The change may have been accepted: the table gave no answer, nor could it be
 * read afterwards. Ask again with {@link ConfigurationStore.outcomeOf}.
 */
export class ConfigurationOutcomeUnknownError extends LayerError {
	readonly code = 'configuration_outcome_unknown';

	constructor(readonly version: number, readonly token: string, options?: ErrorOptions) {
		super(`The table gave no answer to version ${version}. Ask for the outcome of token ${token} before sending the document again.`, options);
	}
}

/** Nothing was changed: the store could not be reached before the change was written. */
export class ConfigurationUnavailableError extends LayerError {
	readonly code = 'configuration_unavailable';
}

/** Nothing was changed: this daemon does not hear enough of the others. */
export class ConfigurationMinorityError extends LayerError {
	readonly code = 'configuration_minority';

	constructor(heard: number, listed: number) {
		const advice = 'Send it to a daemon on the other side, or take the lost VMs off the platform\'s list.';
		super(`This daemon hears ${heard} of ${listed} listed daemons, itself included; a change needs more than half. ${advice}`);
	}
}

/** Stored or received sections are not what their digest says. */
export class SectionCorruptError extends LayerError {
	readonly code = 'section_corrupt';
}
