/** Batches messages to peers: a flush sends at most one request and one transfer to each peer. */
import {create} from '@bufbuild/protobuf';
import {
	type ShardCall, type ShardReport, type ShareGrant, type ShareNotice, ShareRequestSchema, ShareTransferSchema, type ShareWish,
} from '../../gen/hickorywalk/v1/limits_pb.js';
import {type SendToPeer} from '../links/peer-link.js';

type RequestParts = {wishes: ShareWish[]; reports: ShardReport[]};
type TransferParts = {
	incarnation: bigint;
	grants: ShareGrant[];
	notices: ShareNotice[];
	calls: ShardCall[];
};

/** Outgoing message parts of the limiter. */
export type Outbox = {
	wish: (to: string, wish: ShareWish) => void;
	report: (to: string, report: ShardReport) => void;
	grant: (to: string, incarnation: bigint, grant: ShareGrant) => void;
	notice: (to: string, incarnation: bigint, notice: ShareNotice) => void;
	call: (to: string, call: ShardCall) => void;
	/** Sends everything that was collected. */
	flush: () => void;
};

/** Creates an empty outbox; `wake` is called when the first part for a peer is added, so that a flush can be scheduled. */
export function createOutbox(send: SendToPeer, wake: () => void): Outbox {
	let requests = new Map<string, RequestParts>();
	let transfers = new Map<string, TransferParts>();

	function requestFor(to: string): RequestParts {
		let parts = requests.get(to);
		if (!parts) {
			parts = {wishes: [], reports: []};
			requests.set(to, parts);
			wake();
		}

		return parts;
	}

	function transferFor(to: string, incarnation: bigint): TransferParts {
		let parts = transfers.get(to);
		if (!parts) {
			parts = {
				incarnation, grants: [], notices: [], calls: [],
			};
			transfers.set(to, parts);
			wake();
		}

		// A newer process of the same daemon: grants and notices for the old one are void.
		if (incarnation > parts.incarnation) {
			parts.incarnation = incarnation;
			parts.grants = [];
			parts.notices = [];
		}

		return parts;
	}

	return {
		wish(to, wish) {
			requestFor(to).wishes.push(wish);
		},
		report(to, report) {
			requestFor(to).reports.push(report);
		},
		grant(to, incarnation, grant) {
			transferFor(to, incarnation).grants.push(grant);
		},
		notice(to, incarnation, notice) {
			transferFor(to, incarnation).notices.push(notice);
		},
		call(to, call) {
			transferFor(to, 0n).calls.push(call);
		},
		flush() {
			const requestsNow = requests;
			const transfersNow = transfers;
			requests = new Map();
			transfers = new Map();
			for (const [to, parts] of requestsNow) {
				send(to, {case: 'shareRequest', value: create(ShareRequestSchema, parts)});
			}

			for (const [to, {incarnation, ...parts}] of transfersNow) {
				send(to, {case: 'shareTransfer', value: create(ShareTransferSchema, {toIncarnation: incarnation, ...parts})});
			}
		},
	};
}
