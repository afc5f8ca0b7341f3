/**
 * What the parts of a daemon see of its peers: a way to send one typed message
 * to a daemon by name, and a way to hear them. Messages may be lost, doubled,
 * late or out of order; nothing here promises more.
 */
import {type PeerMessage} from '../../gen/hickorywalk/v1/peer_pb.js';

/** The body of a message: exactly one case of the peer protocol. */
export type PeerBody = Exclude<PeerMessage['body'], {case: undefined; value?: undefined}>;

/** The name of one kind of message. */
export type PeerCase = PeerBody['case'];

/** Where a message came from. */
export type PeerOrigin = {
	/** Name of the sending daemon. */
	name: string;
	/** Process of that daemon; grows with each start. */
	incarnation: bigint;
};

/** Queues messages for the next tick; never blocks and never throws. */
export type SendToPeer = (to: string, body: PeerBody) => void;

/** A part's handlers, one for each kind of message that it wants. */
export type PeerHandlers = {
	[Case in PeerCase]?: (origin: PeerOrigin, value: Extract<PeerBody, {case: Case}>['value']) => void;
};
