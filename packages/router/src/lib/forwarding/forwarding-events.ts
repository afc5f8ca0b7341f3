/** Events of the forwarder, for logs and metrics. */
import {type LeaveReason} from '../placing/distance-rule.js';

/** How a request ended, as the caller saw it. */
export type RequestEnd = {
	requestId: string | undefined;
	route: string | undefined;
	workspace: string | undefined;
	/** Digest of the request's content, equal for repeats; `undefined` if no route was found. */
	digest: string | undefined;
	service: string | undefined;
	endpoint: string | undefined;
	/** Software version of that endpoint. */
	software: string | undefined;
	/** Id of the caller's earlier attempt whose stream this request resumes; `undefined` if it resumes none. */
	resumes: string | undefined;
	/** Peer that passed on the latest attempt; `undefined` if it went over this daemon's own path. */
	peer: string | undefined;
	/** Status of the response; `undefined` if the connection ended without one. */
	status: number | undefined;
	/** Number of endpoints that the request was sent to. */
	attempts: number;
	/** Milliseconds from the receipt of the complete request to the end of the response. */
	ms: number;
	/** Milliseconds to the first byte of the response. */
	firstMs: number | undefined;
	/** Milliseconds to the latest dispatch; `undefined` if there was none. */
	sentMs: number | undefined;
	/** Milliseconds to the first byte of the latest attempt that was handed to a connection; `undefined` if there was none. */
	writtenMs: number | undefined;
	/** Upper bound in milliseconds of the age of socket events that were unread when the request was handled. */
	lagMs: number;
	/** Times that the request waited until the process had caught up. */
	catchUps: number;
	/** Milliseconds for which the request waited until an endpoint could take it. */
	waitedMs: number;
	/** Rank of the workspace, or else of the route; `undefined` if no endpoint was chosen or waited for. */
	rank: number | undefined;
	/** Milliseconds from the latest dispatch to the first byte, as estimated when the endpoint was chosen or the request was refused as `overloaded`. */
	expectedMs: number | undefined;
	/** Why the latest attempt left this daemon's data centre; `undefined` if it didn't, or distance counts as delay only. */
	leaveReason: LeaveReason | undefined;
	/** Weights version that the endpoint was chosen for; `undefined` for plain services. */
	weights: number | undefined;
	/** Milliseconds since that version was replaced, at dispatch; 0 if it is the newest, infinite if unknown. */
	weightsAgeMs: number | undefined;
	/** The same when the response began; `undefined` if it did not begin. */
	begunWeightsAgeMs: number | undefined;
	reason: string;
	/** The endpoint's response says that it is leaving. */
	isLeaving: boolean;
	/** For a request over its workspace's quota: units requested, and units left for the fleet and for this daemon. */
	quota?: {units: number; level: number; own: number};
};

/** A failed attempt; the request may be retried on another endpoint. */
export type AttemptFailure = {
	requestId: string | undefined;
	digest: string;
	/** Keys of the prompt's parts that other requests may share. */
	parts: readonly string[];
	endpoint: string;
	/** Software version of the endpoint. */
	software: string;
	peer: string | undefined;
	service: string;
	reason: string;
	/** Milliseconds from the dispatch to the failure. */
	ms: number;
	/** Milliseconds from the dispatch to the first byte of the response; `undefined` if none arrived. */
	firstMs: number | undefined;
	/** Time in milliseconds for which the endpoint wants no requests from this daemon; 0 if it states none. */
	backoffMs: number;
	/** Weights version that the endpoint was chosen for, and milliseconds since it was replaced, at dispatch. */
	weights: number | undefined;
	weightsAgeMs: number | undefined;
	next: string;
};

/** Callbacks for the progress of requests. */
export type ForwardingEvents = {
	ended: (end: RequestEnd) => void;
	attemptFailed: (attempt: AttemptFailure) => void;
};
