/** The encoded size of messages, for traffic limits and measurements. */
import {create, toBinary} from '@bufbuild/protobuf';
import {PeerMessageSchema} from '../../gen/hickorywalk/v1/peer_pb.js';
import {type PeerBody} from './peer-link.js';

/** Encoded bytes of a message, without the fields of its batch. */
export function bodySize(body: PeerBody): number {
	return toBinary(PeerMessageSchema, create(PeerMessageSchema, {body})).length;
}
