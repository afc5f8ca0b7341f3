/** The size of a message on the wire, for budgets and measurements. */
import {create, toBinary} from '@bufbuild/protobuf';
import {PeerMessageSchema} from '../../gen/hickorywalk/v1/peer_pb.js';
import {type PeerBody} from './peer-link.js';

/** Bytes that a message adds to its batch, without the batch's own fields. */
export function bodySize(body: PeerBody): number {
	return toBinary(PeerMessageSchema, create(PeerMessageSchema, {body})).length;
}
