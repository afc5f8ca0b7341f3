/**
 * Interfaces through which the modules of a daemon exchange typed messages with
 * peers. There are no delivery guarantees: messages may be lost, duplicated,
 * delayed or reordered.
 */
import {type PeerMessage} from '../../gen/hickorywalk/v1/peer_pb.js';

/** The body of a message: exactly one case of the peer protocol. */
export type PeerBody = Exclude<PeerMessage['body'], {case: undefined; value?: undefined}>;

/** The kind of a message. */
export type PeerCase = PeerBody['case'];

/** The sender of a message. */
export type PeerOrigin = {
	/** Name of the sending daemon. */
	name: string;
	/** Incarnation number of its process; grows with each start. */
	incarnation: bigint;
};

/** Queues a message for the next tick; never blocks and never throws. */
export type SendToPeer = (to: string, body: PeerBody) => void;

/** A module's message handlers by kind of message. */
export type PeerHandlers = {
	[Case in PeerCase]?: (origin: PeerOrigin, value: Extract<PeerBody, {case: Case}>['value']) => void;
};
