/** Errors of the links between daemons. */
import {LayerError} from '../errors/layer-error.js';

/** The port for peers could not be opened. */
export class PeerListenError extends LayerError {
	readonly code = 'peer_listen';
}

/** A link ended or was destroyed; it is dialled again when needed. */
export class PeerLinkError extends LayerError {
	readonly code = 'peer_link';
}
