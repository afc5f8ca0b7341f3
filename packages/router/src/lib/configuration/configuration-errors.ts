/** Errors of the configuration layer. */
import {LayerError} from '../errors/layer-error.js';

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
