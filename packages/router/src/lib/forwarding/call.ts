/** State of one request in the forwarder. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {withShortIds} from '../quarantine/prompt-part-keys.js';
import {type CallFacts} from '../fleet/call-headers.js';
import {type Route, type Workspace} from '../fleet/fleet-document.js';
import {type AcceptedDocument} from '../fleet/fleet-view.js';
import {type PromptNeed} from '../placing/choice-request.js';
import {type Choice} from '../placing/endpoint-choice.js';
import {type RetryGrant} from '../retries/retry-window.js';
import {type StreamOrigin} from '../streams/stream-origin.js';
import {type AttemptProgress, type BufferedResponse} from './attempt.js';
import {type PathKind} from './attempt-path.js';
import {type RequestBuffer} from './buffer-account.js';
import {type CallerReply} from './caller-reply.js';
import {type ReadState} from './read-state.js';
import {type RefusalName} from './refusals.js';

/** A request's complete body. */
export type RequestBody = {
	content: Buffer;
	/** SHA-256 of the content. */
	hash: Buffer;
};

/** One request in flight. */
export type Call = {
	req: IncomingMessage;
	body: Buffer | undefined;
	/** Accounts for the bytes that are buffered for it. */
	buffer: RequestBuffer;
	/** Digest of its content; equal for repeats. */
	digest: string;
	/** Keys of the prompt's parts that other requests may share. */
	parts: readonly string[];
	/** The digest and these keys: what the request may be refused for. */
	refusalKeys: readonly string[];
	facts: CallFacts;
	reply: CallerReply;
	route: Route;
	workspace: Workspace | undefined;
	service: string;
	/** Set for requests to model engines. */
	prompt: PromptNeed | undefined;
	/** Set once the caller has events of the stream. */
	origin: StreamOrigin | undefined;
	/** This daemon has passed on events of the stream. */
	hasEvents: boolean;
	/** `performance.now()` at which the complete request had been received. */
	readAt: number;
	/** `performance.now()` at which the caller gives up. */
	deadlineAt: number;
	/** `performance.now()` at which its target latency ends. */
	targetAt: number;
	/** Ids of endpoints that were tried already. */
	excluded: Set<string>;
	/** Endpoints that the request was sent to. */
	attempts: number;
	/** Once true, no response may claim that nothing ran. */
	mayHaveRun: boolean;
	/** Attempts whose connection the endpoint broke off. */
	brokenConnections: number;
	/** Connections to endpoints over this daemon's own paths that could not be established. */
	ownConnectFailures: number;
	/** Attempts for which no connection came about, neither here nor at peers. */
	connectFailures: number;
	/** Path of the latest attempt, and the peer that it goes through. */
	pathKind: PathKind;
	peer: string | undefined;
	/** Ends the current attempt, if the request may be sent elsewhere, because its path is lost. */
	leavePath: (() => void) | undefined;
	/** Cancels the current attempt unless its response has begun. */
	cancel: (() => void) | undefined;
	/** Ends the current attempt, begun or not, because the process ends. */
	endAttempt: (() => void) | undefined;
	/** Finds the endpoint that the request would be sent to at once if its current attempt ended now. */
	findPlace: (() => Choice | undefined) | undefined;
	/** Where the next attempt goes, if the current one was ended for it. */
	place: Choice | undefined;
	/** Called when the response of the current attempt begins. */
	onBegun: (() => void) | undefined;
	/** It was refused, its term has ended, and this daemon may send it once. */
	isClaimed: boolean;
	/** Permission for the current attempt; `undefined` for the first one. */
	grant: RetryGrant | undefined;
	/** Permission for the next attempt, once it has been decided on. */
	nextGrant: RetryGrant | undefined;
	progress: AttemptProgress;
	/** The endpoint of the latest attempt. */
	choice: Choice | undefined;
	readState: ReadState;
	/** Milliseconds for which the request has waited until an endpoint could take it. */
	waitedMs: number;
	/** Expected milliseconds to the first event for which the request was refused as `overloaded`. */
	refusedExpectedMs: number | undefined;
	/** `performance.now()` of the latest dispatch. */
	sentAt: number | undefined;
	/** `performance.now()` at which the latest attempt was handed to a connection. */
	writtenAt: number | undefined;
	/** Milliseconds since the weights version of the latest attempt was replaced, at dispatch and when its response began. */
	weightsAgeMs: number | undefined;
	begunWeightsAgeMs: number | undefined;
	/** An endpoint's error response, returned if no retry succeeds. */
	errorResponse: BufferedResponse | undefined;
};

/** Arguments of {@link createCall}. */
export type CallOrigin = Pick<Call, 'req' | 'body' | 'buffer' | 'digest' | 'parts' | 'facts' | 'reply' | 'route' | 'workspace' | 'service' | 'origin' | 'readAt' | 'readState'>;

/** Creates a call without attempts. */
export function createCall(origin: CallOrigin): Call {
	const {
		facts, route, workspace, readAt,
	} = origin;
	return {
		...origin,
		refusalKeys: [origin.digest, ...origin.parts],
		prompt: promptOf(facts, workspace),
		deadlineAt: readAt + Math.min(facts.remainingMs ?? route.timeoutMs, route.timeoutMs),
		targetAt: readAt + route.targetMs,
		hasEvents: false,
		excluded: new Set(),
		attempts: 0,
		mayHaveRun: false,
		brokenConnections: 0,
		ownConnectFailures: 0,
		connectFailures: 0,
		pathKind: 'own',
		peer: undefined,
		leavePath: undefined,
		cancel: undefined,
		endAttempt: undefined,
		findPlace: undefined,
		place: undefined,
		onBegun: undefined,
		isClaimed: false,
		grant: undefined,
		nextGrant: undefined,
		progress: {firstAt: undefined, lastEventId: undefined, facts: undefined},
		choice: undefined,
		waitedMs: 0,
		refusedExpectedMs: undefined,
		sentAt: undefined,
		writtenAt: undefined,
		weightsAgeMs: undefined,
		begunWeightsAgeMs: undefined,
		errorResponse: undefined,
	};
}

/** Rank of the workspace, or else of the route; 0 is the most urgent. */
export const rankOf = ({workspace, route}: Pick<Call, 'workspace' | 'route'>): number => workspace?.rank ?? route.rank;

/** Whether the request is safe to run more than once. */
export const mayRunAgain = ({route}: Call): boolean => route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable);

/** Arguments of {@link findRoute}. */
export type RouteQuery = Pick<Call, 'req' | 'facts'> & {bodyBytes: number};

/** Route and workspace of a request, or the reason to reject it. */
export function findRoute(accepted: AcceptedDocument | undefined, {req, facts, bodyBytes}: RouteQuery): {route: Route; workspace: Workspace | undefined} | RefusalName {
	if (accepted === undefined) {
		return 'no_document';
	}

	const route = accepted.routes.lookUp(req.headers.host ?? '', req.url ?? '/');
	if (route === undefined) {
		return 'no_route';
	}

	if (bodyBytes > accepted.document.limits.bodyBytes) {
		return 'too_large';
	}

	if (route.isPublic || accepted.document.workspaces.length === 0) {
		return {route, workspace: undefined};
	}

	const workspace = facts.keyDigest === undefined ? undefined : accepted.workspaceOfKey.get(facts.keyDigest);
	return workspace === undefined ? 'no_key' : {route, workspace};
}

/** Units that a request counts against its workspace's rate and burst. */
export function unitsOf(facts: CallFacts, workspace: Workspace): number {
	return workspace.countsTokens && facts.promptTokens !== undefined
		? facts.promptTokens + (facts.outputTokens ?? 0)
		: workspace.defaultUnits;
}

function promptOf(facts: CallFacts, workspace: Workspace | undefined): PromptNeed | undefined {
	if (facts.model === undefined) {
		return undefined;
	}

	return {
		model: facts.model,
		parts: withShortIds(facts.parts),
		promptTokens: facts.promptTokens ?? 0,
		outputTokens: facts.outputTokens ?? 0,
		isolationKey: workspace?.isIsolated === true ? workspace.name : '',
	};
}
