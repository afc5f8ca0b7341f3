/** Errors of the links between daemons. */
import {LayerError} from '../errors/layer-error.js';

/** The port for peers could not be opened. */
export class PeerListenError extends LayerError {
	readonly code = 'peer_listen';
}

/** A link ended, or was given up; it is dialled again when it is needed. */
export class PeerLinkError extends LayerError {
	readonly code = 'peer_link';
}
