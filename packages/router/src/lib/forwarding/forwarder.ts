/** Forwards one request: routing, authentication, quota, endpoint choice and retries. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Admission, type AdmissionTicket, type Admitted as AdmissionResult} from '../admission/admission.js';
import {type CallFacts} from '../fleet/call-headers.js';
import {type Route, type Workspace} from '../fleet/fleet-document.js';
import {type AcceptedDocument} from '../fleet/fleet-view.js';
import {chooseService} from '../fleet/route-table.js';
import {type RequestArrival} from '../http/request-arrivals.js';
import {type CapacityWait} from '../placing/capacity-wait.js';
import {type ChoiceRequest, type RequestDistance} from '../placing/choice-request.js';
import {sharedPartKeys} from '../quarantine/prompt-part-keys.js';
import {type Quarantine, type Standing} from '../quarantine/quarantine.js';
import {digestRequest} from '../quarantine/request-digest.js';
import {failureClasses} from '../orders/failure-classes.js';
import {type FleetQuota} from '../quotas/fleet-quota.js';
import {type RetryWindow} from '../retries/retry-window.js';
import {type OriginFinder} from '../streams/origin-finder.js';
import {type StreamOrigin, streamKey} from '../streams/stream-origin.js';
import {type EventLoopLag, maxLagMs} from '../time/event-loop-lag.js';
import {type AttemptEnd} from './attempt.js';
import {type AttemptMoves, createAttemptMoves} from './attempt-moves.js';
import {type BufferAccount} from './buffer-account.js';
import {
	type Call, createCall, findRoute, mayRunAgain, rankOf, type RequestBody, unitsOf,
} from './call.js';
import {type CallerReply, createCallerReply} from './caller-reply.js';
import {type ForwardingEvents, type RequestEnd} from './forwarding-events.js';
import {createDispatchBound} from './dispatch-bound.js';
import {createOpenReplies, type OpenReplies} from './open-replies.js';
import {createReadStates, type ReadState} from './read-state.js';
import {finishResponse, type RefusalResponse, sendRefusal} from './router-response.js';
import {createEndpointSender, type EndpointSenderOptions} from './send-to-endpoint.js';
import {
	decideNext, reasonOf, refuseForCrashes, refuseForStop, refuseOverloaded, type Decision, type DecisionOptions, decideWithoutEndpoint, decideWithoutRepeat,
} from './retry-decision.js';

/** Options of {@link createForwarder}. */
export type ForwarderOptions = Omit<EndpointSenderOptions, keyof AttemptMoves> & {
	/** The document to serve by. */
	document: () => AcceptedDocument | undefined;
	quota: FleetQuota;
	quarantine: Quarantine;
	capacityWait: CapacityWait;
	admission: Admission;
	originFinder: Pick<OriginFinder, 'locate'>;
	bufferAccount: BufferAccount;
	eventLoopLag: EventLoopLag;
	/** The process is about to exit and rejects new requests. */
	isClosed: () => boolean;
	/** `performance.now()` until which the process serves; infinite while it isn't about to stop. */
	servesUntil: () => number;
	/** The retry budget of a service. */
	budgetOf: (service: string) => RetryWindow;
	/** Returns a number in [0, 1). */
	random: () => number;
	events: ForwardingEvents;
};

/** The forwarder. */
export type Forwarder = {
	/** Handles one request whose body has been read; resolves when it has ended. */
	handle: (req: IncomingMessage, body: RequestBody | undefined, res: ServerResponse, arrival: RequestArrival) => Promise<void>;
	/** Refuses a request whose body has not been read, since there is no memory for it. */
	refuseOverloaded: (req: IncomingMessage, res: ServerResponse) => void;
	/** Responds to a request whose handling threw an error, unless its response is whole. */
	failed: (req: IncomingMessage, res: ServerResponse) => void;
	/** Number of requests in flight. */
	inFlight: () => number;
	/** Number of requests that were refused since the process stops. */
	refusedForStop: () => number;
	/** Ends all requests under way and responds to their callers, if no response has begun. */
	endCalls: () => EndedCall[];
	/** Responses that the process must not leave behind when it exits. */
	openReplies: Pick<OpenReplies, 'breakOff' | 'reset'>;
};

/** A request that was ended with the process; `ms` is its time so far. */
export type EndedCall = {requestId: string | undefined; service: string; ms: number};

const noDocumentRetryMs = 500;

/** Buffers empty as soon as callers read or are aborted. */
const fullBuffersRetryMs = 500;

/** Creates the forwarder. */
export function createForwarder(options: ForwarderOptions): Forwarder {
	const {headers, quota, quarantine, budgetOf} = options;
	const readStates = createReadStates(options.eventLoopLag);
	/** Requests being sent to endpoints. */
	const calls = new Set<Call>();
	const openReplies = createOpenReplies();
	const dispatchBound = createDispatchBound({servesUntil: options.servesUntil, calls});
	let inFlight = 0;
	let refusedForStop = 0;

	/** The strictest refusal among these keys. */
	const refusalOf = (keys: readonly string[]): ReturnType<Quarantine['refusalOf']> => {
		let refusal: ReturnType<Quarantine['refusalOf']>;
		for (const key of keys) {
			const ofKey = quarantine.refusalOf(key);
			if (ofKey === 'refused') {
				return 'refused';
			}

			refusal ??= ofKey;
		}

		return refusal;
	};

	/** A request is suspect for its own crashes only: most parts of a suspect are sound. */
	const standingOf = ({refusalKeys, digest}: Call): Standing => refusalOf(refusalKeys) ?? quarantine.standingOf(digest);

	const markCompleted = (call: Call, end: AttemptEnd): void => {
		if (isProvenComplete(call, end)) {
			quarantine.markCompleted(call.digest);
		}

		if (provesPartsSound(call, end)) {
			for (const key of call.parts) {
				quarantine.markCompleted(key);
			}
		}
	};

	/** Whether the retry budget permits another attempt; reserves a repeat once per attempt. */
	const isGranted = (call: Call): boolean => {
		call.nextGrant ??= budgetOf(call.service).reserve();
		return call.nextGrant !== undefined;
	};

	/** Whether another endpoint may get the request, which is then reserved in the retry budget. */
	const mayTryElsewhere = (call: Call): boolean => {
		if (call.attempts >= call.route.maxEndpoints || performance.now() >= call.deadlineAt || call.reply.isDisconnected() || !dispatchBound.allows(call)) {
			return false;
		}

		return isGranted(call);
	};

	/** A request that was claimed when its term had ended is sent once, although it is refused again meanwhile. */
	const isRefused = ({refusalKeys, isClaimed}: Call): boolean => !isClaimed && refusalOf(refusalKeys) === 'refused';

	const send = createEndpointSender({...options, ...createAttemptMoves({mayTryElsewhere, standingOf, isRefused})});

	const decisionOptions: DecisionOptions = {mayTryElsewhere, standingOf, capacityWait: options.capacityWait};

	const refuseUnadmitted = (call: Call, {reason, expectedMs, retryAfterMs}: Extract<AdmissionResult, {kind: 'refuse'}>): Decision => {
		if (reason === 'unavailable') {
			return decideWithoutEndpoint(call, options.capacityWait);
		}

		call.refusedExpectedMs = expectedMs;
		return refuseOverloaded(call, retryAfterMs);
	};

	/** Waits until it is the request's turn, or it must be decided on again. */
	const waitForTurn = async (call: Call, ticket: AdmissionTicket, turn: Promise<void>): Promise<void> => {
		call.cancel = ticket.wake;
		await turn;
		call.cancel = undefined;
		call.waitedMs = ticket.waitedMs();
	};

	const run = async (call: Call, ticket: AdmissionTicket): Promise<Decision> => {
		let isWatchingCaller = false;
		for (;;) {
			if (readStates.isStale(call.readState)) {
				await readStates.catchUp(call.readState);
				if (call.reply.isDisconnected()) {
					return {kind: 'done', reason: 'caller_left'};
				}
			}

			if (isRefused(call)) {
				return refuseForCrashes(call);
			}

			if (!dispatchBound.allows(call)) {
				return refuseForStop(call);
			}

			if (call.attempts > 0 && !isGranted(call)) {
				return decideWithoutRepeat(call, options.capacityWait);
			}

			// What may have run isn't held back: its response, or its failure, is due.
			const {place} = call;
			call.place = undefined;
			const admitted = ticket.decide(choiceRequestOf(call), !call.mayHaveRun, place);
			if (admitted.kind === 'wait') {
				if (!isWatchingCaller) {
					isWatchingCaller = true;
					call.reply.onDisconnect(ticket.wake);
				}

				await waitForTurn(call, ticket, admitted.turn);
				if (call.reply.isDisconnected()) {
					return {kind: 'done', reason: 'caller_left'};
				}

				continue;
			}

			call.waitedMs = ticket.waitedMs();
			if (admitted.kind === 'refuse') {
				return refuseUnadmitted(call, admitted);
			}

			const chosen = admitted.choice;
			call.choice = chosen;
			call.excluded.add(chosen.endpoint.id);
			call.attempts++;
			call.grant = call.nextGrant;
			call.nextGrant = undefined;
			call.onBegun = admitted.begun;
			const end = await send(call, chosen);
			admitted.ended();
			settleGrant(call, end);
			dispatchBound.recordAttempt(call.route.name, call.sentAt!);
			markCompleted(call, end);

			const decision = decideNext(call, end, decisionOptions);
			if (end.kind !== 'answered' && end.kind !== 'callerLeft') {
				const sentAt = call.sentAt!;
				options.events.attemptFailed({
					requestId: call.facts.requestId, digest: call.digest, parts: call.parts, endpoint: chosen.endpoint.id, software: chosen.endpoint.software,
					peer: call.peer, service: call.service, reason: reasonOf(end), ms: performance.now() - sentAt,
					firstMs: call.progress.firstAt === undefined ? undefined : call.progress.firstAt - sentAt, backoffMs: call.progress.facts?.backoffMs ?? 0,
					weights: chosen.weights, weightsAgeMs: call.weightsAgeMs, next: decision.kind,
				});
			}

			if (decision.kind !== 'next') {
				return decision;
			}
		}
	};

	quarantine.onRefused(key => {
		for (const call of calls) {
			if (call.refusalKeys.includes(key)) {
				call.cancel?.();
			}
		}
	});

	const runRegistered = async (call: Call): Promise<Decision> => {
		const {service, route, workspace, deadlineAt, body} = call;
		const ticket = options.admission.ticketFor({
			service, rank: rankOf(call), workspace: workspace?.name ?? '', deadlineAt, timeoutMs: route.timeoutMs, targetMs: route.targetMs, bytes: body?.length ?? 0,
		});
		call.findPlace = () => ticket.placeFor(choiceRequestOf(call));
		calls.add(call);
		try {
			return await run(call, ticket);
		} finally {
			calls.delete(call);
			call.nextGrant?.release();
			ticket.leave();
		}
	};

	/** Runs the checks that need no endpoint: route, key, quarantine and quota. */
	const admit = (req: IncomingMessage, body: RequestBody | undefined, facts: CallFacts): Admitted | Refused => {
		const found = options.isClosed() ? 'stopping' : findRoute(options.document(), {req, facts, bodyBytes: body?.content.length ?? 0});
		if (typeof found === 'string') {
			return {refusal: {name: found, retryAfterMs: found === 'no_document' ? noDocumentRetryMs : 0}, details: {}};
		}

		const {route, workspace} = found;
		if (!options.bufferAccount.hasSpace()) {
			return {refusal: {name: 'overloaded', retryAfterMs: fullBuffersRetryMs}, details: {route, workspace}};
		}

		const digest = digestRequest({
			workspace: workspace?.name, method: req.method ?? '', path: req.url ?? '', bodyHash: body?.hash, parts: facts.parts,
		});
		const parts = sharedPartKeys(facts.parts);
		const details = {route, workspace, digest};
		const refusalKeys = [digest, ...parts];
		const refusal = refusalOf(refusalKeys);
		if (refusal === 'refused') {
			return {refusal: {name: 'crashes_endpoints'}, details};
		}

		const units = workspace === undefined ? 0 : unitsOf(facts, workspace);
		const admission = workspace === undefined ? undefined : quota.admit(workspace, units);
		if (admission?.granted === false) {
			const {retryAfterMs, level, own} = admission;
			return {refusal: {name: 'over_quota', retryAfterMs}, details: {...details, quota: {units, level, own}}};
		}

		const dueKeys = refusal === 'due' ? refusalKeys.filter(key => quarantine.refusalOf(key) === 'due') : [];
		return {
			...details, parts, dueKeys, refund: () => admission?.refund(),
		};
	};

	/** Where the stream began that a caller takes up again, if it can go on there. */
	const findOrigin = async (route: Route, workspace: Workspace | undefined, {resumes, requestId = ''}: CallFacts): Promise<StreamOrigin | undefined> => {
		const services = route.targets.map(target => target.service);
		// Without the name of the stream, peers may still know of one version only.
		const origin = await options.originFinder.locate(streamKey(workspace?.name, resumes ?? requestId), services);
		return origin !== undefined && services.includes(origin.service) && hasEndpoint(origin) ? origin : undefined;
	};

	const hasEndpoint = ({service, software}: StreamOrigin): boolean =>
		options.view.endpointsOf(service).some(endpoint => endpoint.software === software && !endpoint.isLeaving);

	const claimAll = async (keys: readonly string[]): Promise<boolean> => {
		for (const key of keys) {
			if (!await quarantine.claim(key)) {
				return false;
			}
		}

		return true;
	};

	const handle: Forwarder['handle'] = async (req, body, res, {readAt, lagMs}) => {
		const startedAt = performance.now();
		const facts = headers.readCall(req.rawHeaders);
		const reply = createCallerReply(res);
		const readState = readStates.open(lagMs);
		openReplies.add(reply);
		const reportEnd = (reason: string, more: EndDetails): void => {
			refusedForStop += reason === 'stopping' ? 1 : 0;
			options.events.ended(describeEnd({
				...more, reason, reply, facts, startedAt, lagMs, readState,
			}));
		};

		const refuseCaller = ({refusal, details}: Refused): void => {
			sendRefusal(headers, {reply, facts}, refusal);
			reportEnd(refusal.name, details);
		};

		if (lagMs > maxLagMs) {
			await readStates.catchUp(readState);
			if (reply.isDisconnected()) {
				reportEnd('caller_left', {});
				return;
			}
		}

		const result = admit(req, body, facts);
		if ('refusal' in result) {
			refuseCaller(result);
			return;
		}

		const {route, workspace, digest, parts, dueKeys, refund} = result;
		const isResuming = resumesStream(route, facts);
		const origin = isResuming ? await findOrigin(route, workspace, facts) : undefined;
		if (isResuming && origin === undefined) {
			refund();
			refuseCaller({refusal: {name: 'cannot_resume'}, details: {route, workspace, digest}});
			return;
		}

		// Last, since a claim doubles the term.
		if (!await claimAll(dueKeys)) {
			refund();
			refuseCaller({refusal: {name: 'crashes_endpoints'}, details: {route, workspace, digest}});
			return;
		}

		const service = origin?.service ?? chooseService(route, options.random()) ?? '';
		const buffer = options.bufferAccount.open({
			mayRepeat: () => mayRunAgain(call),
			takenBytes: () => req.socket.bytesWritten,
			abort: reply.abort,
		});
		const call = createCall({
			req, body: body?.content, buffer, digest, parts, facts, reply, route, workspace, service, origin, readAt, readState,
		});
		call.isClaimed = dueKeys.length > 0;
		reply.onClose(buffer.close);
		buffer.add(body?.content.length ?? 0);
		budgetOf(service).recordRequest(performance.now() - readAt + lagMs);
		const decision = await runRegistered(call);
		const reason = finishResponse(headers, call, decision);
		if (!call.mayHaveRun && (decision.kind === 'refuse' || call.sentAt === undefined)) {
			refund();
		}

		reportEnd(reason, {
			call, route, workspace, digest,
		});
	};

	return {
		async handle(req, body, res, arrival) {
			inFlight++;
			try {
				await handle(req, body, res, arrival);
			} finally {
				inFlight--;
			}
		},
		refuseOverloaded(req, res) {
			const startedAt = performance.now();
			const facts = headers.readCall(req.rawHeaders);
			const reply = createCallerReply(res);
			sendRefusal(headers, {reply, facts}, {name: 'overloaded', retryAfterMs: fullBuffersRetryMs});
			options.events.ended(describeEnd({
				reason: 'overloaded', reply, facts, startedAt, lagMs: 0, readState: readStates.open(0),
			}));
		},
		failed(req, res) {
			if (res.writableEnded) {
				return;
			}

			const startedAt = performance.now();
			const facts = headers.readCall(req.rawHeaders);
			const reply = createCallerReply(res);
			if (reply.isStarted() || reply.isDisconnected()) {
				// Whether the response has a length or chunks isn't known here; a reset shows that it is partial in any case.
				reply.reset();
				return;
			}

			sendRefusal(headers, {reply, facts}, {name: 'router_failed'});
			options.events.ended(describeEnd({
				reason: 'router_failed', reply, facts, startedAt, lagMs: 0, readState: readStates.open(0),
			}));
		},
		inFlight: () => inFlight,
		refusedForStop: () => refusedForStop,
		endCalls() {
			const now = performance.now();
			const ended: EndedCall[] = [];
			for (const call of calls) {
				if (call.endAttempt === undefined) {
					call.cancel?.();
					continue;
				}

				ended.push({requestId: call.facts.requestId, service: call.service, ms: Math.round(now - call.readAt)});
				call.endAttempt();
			}

			return ended;
		},
		openReplies,
	};
}

/** Keeps the permission for an attempt that has reached nothing for the next one. */
function settleGrant(call: Call, end: AttemptEnd): void {
	const {grant} = call;
	call.grant = undefined;
	if (end.kind === 'failed' && failureClasses[end.failure].reach === 'nothing' && grant?.isReleased() === false) {
		call.nextGrant ??= grant;
	}

	if (call.nextGrant !== grant) {
		grant?.release();
	}
}

/** What the endpoint choice needs to know of a request. */
const choiceRequestOf = (call: Call): ChoiceRequest => ({
	service: call.service, prompt: call.prompt, excluded: call.excluded, software: call.origin?.software, distance: distanceOf(call),
});

/** Whether a caller that has a part of a stream asks for the rest of it. */
const resumesStream = (route: Route, {resumeAfter, resumes}: CallFacts): boolean =>
	route.kind === 'stream' && route.isResumable && (resumeAfter !== undefined || resumes !== undefined);

/** Whether the endpoint provably ran the request to its end; an unframed response also ends when the endpoint crashes. */
const isProvenComplete = ({progress}: Call, {kind}: AttemptEnd): boolean =>
	(kind === 'answered' || kind === 'errorAnswer') && progress.facts?.isUnframed === false;

/** Whether an endpoint wrote an answer on the request's parts; a part that crashes endpoints does so before the first event. */
const provesPartsSound = ({progress, hasEvents}: Call, {kind}: AttemptEnd): boolean =>
	kind === 'answered' && (hasEvents || progress.facts?.isUnframed === false);

const distanceOf = (call: Call): RequestDistance => ({
	targetMs: call.route.targetMs, leftMs: call.targetAt - performance.now(), rank: rankOf(call), bodyBytes: call.body?.length ?? 0,
});

type EndDetails = {
	call?: Call;
	route?: Route;
	workspace?: Workspace | undefined;
	digest?: string;
	quota?: RequestEnd['quota'];
};

/** A request that may be sent to endpoints. */
type Admitted = {
	route: Route;
	workspace: Workspace | undefined;
	digest: string;
	parts: readonly string[];
	/** It is refused unless this daemon's claims on these succeed. */
	dueKeys: readonly string[];
	/** Returns the units taken from the workspace's quota. */
	refund: () => void;
};

type Refused = {refusal: RefusalResponse; details: EndDetails};

type EndOfRequest = EndDetails & {
	reason: string;
	reply: CallerReply;
	facts: CallFacts;
	startedAt: number;
	lagMs: number;
	readState: ReadState;
};

const waitOf = (call: Call | undefined): Pick<RequestEnd, 'waitedMs' | 'rank'> =>
	call === undefined ? {waitedMs: 0, rank: undefined} : {waitedMs: call.waitedMs, rank: rankOf(call)};

const expectedMsOf = (call: Call | undefined): number | undefined => call?.refusedExpectedMs ?? call?.choice?.expectedMs;

function describeEnd(end: EndOfRequest): RequestEnd {
	const {
		call, route, workspace, digest, reply, facts, reason, quota,
	} = end;
	const elapsedMs = (at: number | undefined): number | undefined => at === undefined ? undefined : at - end.startedAt;
	const choice = call?.choice;
	return {
		requestId: facts.requestId,
		resumes: facts.resumes,
		route: route?.name,
		workspace: workspace?.name,
		digest,
		service: call?.service,
		endpoint: choice?.endpoint.id,
		software: choice?.endpoint.software,
		peer: call?.peer,
		status: reply.status(),
		attempts: call?.attempts ?? 0,
		ms: performance.now() - end.startedAt,
		firstMs: elapsedMs(call?.progress.firstAt),
		sentMs: elapsedMs(call?.sentAt),
		writtenMs: elapsedMs(call?.writtenAt),
		lagMs: end.lagMs,
		catchUps: end.readState.catchUps,
		...waitOf(call),
		expectedMs: expectedMsOf(call),
		leaveReason: choice?.leaves,
		weights: choice?.weights,
		weightsAgeMs: call?.weightsAgeMs,
		begunWeightsAgeMs: call?.begunWeightsAgeMs,
		reason,
		isLeaving: call?.progress.facts?.isLeaving ?? false,
		quota,
	};
}
