/** Dispatches a peer's message to the handler of its kind. */
import {type PeerBody, type PeerCase, type PeerOrigin} from './peer-link.js';

type PeerValues = {[Case in PeerCase]: Extract<PeerBody, {case: Case}>['value']};
type BodyOf<Case extends PeerCase> = {[Each in Case]: {case: Each; value: PeerValues[Each]}}[Case];
type Handlers = {[Case in PeerCase]?: (origin: PeerOrigin, value: PeerValues[Case]) => void};

/** Calls the handler of the body's kind, if there is one. */
export function dispatch<Case extends PeerCase>(handlers: Handlers, origin: PeerOrigin, body: BodyOf<Case>): void {
	handlers[body.case]?.(origin, body.value);
}
