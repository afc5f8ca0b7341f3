/**
 * Brings one request to an endpoint and its answer back: route, key, quota,
 * choice of the endpoint, further attempts where the request may run again.
 */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type CallFacts, type CallHeaders} from '../fleet/call-headers.js';
import {type Route, type Workspace} from '../fleet/fleet-document.js';
import {type AcceptedDocument, type FleetView} from '../fleet/fleet-view.js';
import {chooseService} from '../fleet/route-table.js';
import {type EndpointTransport} from '../orders/endpoint-transport.js';
import {failureClasses} from '../orders/failure-classes.js';
import {type EndpointBook} from '../placing/endpoint-book.js';
import {type Choice, type EndpointChoice, type PromptNeed} from '../placing/endpoint-choice.js';
import {type FleetQuota} from '../quotas/fleet-quota.js';
import {type AttemptBudget} from '../routing/attempt-budget.js';
import {type HealthTracker} from '../routing/health.js';
import {type EngineVersions} from '../weights/engine-versions.js';
import {
	type AttemptEnd, type AttemptProgress, runAttempt, sendWhole, type WholeAnswer,
} from './attempt.js';
import {type CallerReply, createCallerReply} from './caller-reply.js';
import {type ForwardingEvents} from './forwarding-events.js';
import {type RefusalName, refusals} from './refusals.js';

/** Options of {@link createForwarder}. */
export type ForwarderOptions = {
	view: FleetView;
	headers: CallHeaders;
	quota: FleetQuota;
	choice: EndpointChoice;
	book: EndpointBook;
	health: HealthTracker;
	versions: EngineVersions;
	transport: EndpointTransport;
	/** The process is about to end: what comes now could be cut. */
	isClosed: () => boolean;
	/** The retry budget of a service. */
	budgetOf: (service: string) => AttemptBudget;
	/** Numbers from 0 up to 1. */
	random: () => number;
	events: ForwardingEvents;
};

/** The forwarder. */
export type Forwarder = {
	/** Handles one request whose body has been read; resolves when it has ended. */
	handle: (req: IncomingMessage, body: Buffer | undefined, res: ServerResponse) => Promise<void>;
	/** Requests under way. */
	underWay: () => number;
};

/** One request as it is being handled. */
type Call = {
	req: IncomingMessage;
	body: Buffer | undefined;
	facts: CallFacts;
	reply: CallerReply;
	route: Route;
	workspace: Workspace | undefined;
	service: string;
	prompt: PromptNeed | undefined;
	startedAt: number;
	deadlineAt: number;
	excluded: Set<string>;
	attempts: number;
	/** Once true, no answer may say that nothing ran. */
	mayHaveRun: boolean;
	progress: AttemptProgress;
	choice: Choice | undefined;
	errorAnswer: WholeAnswer | undefined;
};

/** How a request came to its end. */
type Verdict
	= | {kind: 'done'; reason: string}
		| {kind: 'refuse'; name: RefusalName; retryAfterMs?: number}
		| {kind: 'next'; reason: string};

/** Pauses to come back after, in milliseconds: a change of weights or a full queue passes in about this time. */
const comeBackMs = 250;
const noDocumentMs = 500;
/** A plain request that may run twice goes elsewhere after this many times its target time without an answer. */
const silentTargets = 2.5;
/** The same for the first event of a stream that can be resumed; the caller itself leaves after four. */
const silentStreamTargets = 3;
/** A failure this close to the deadline is the endpoint giving up in time, in milliseconds, and no sign of trouble. */
const deadlineMarginMs = 50;
/** Silence within a stream after which it goes on elsewhere, as a multiple of the pause that is on time, and at least. The caller leaves after eight pauses or two seconds. */
const silentPauses = 4;
const leastSilentPauseMs = 800;

/** Creates the forwarder. */
export function createForwarder(options: ForwarderOptions): Forwarder {
	const {view, headers, quota, choice, book, health, versions, budgetOf} = options;
	let underWay = 0;

	const ownAnswer = (reply: CallerReply, facts: CallFacts, name: RefusalName, retryAfterMs?: number): void => {
		const {status, text, provesNotRun} = refusals[name];
		const body = JSON.stringify({error: {code: name, message: text}});
		reply.head(status, [
			...headers.ownAnswer({requestId: facts.requestId, retryAfterMs: provesNotRun ? retryAfterMs : undefined, challenges: status === 401}),
			'Content-Type',
			'application/json',
			'Content-Length',
			String(body.length),
		]);
		reply.end(new TextEncoder().encode(body));
	};

	const mayRunAgain = ({route}: Call): boolean => route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable);

	/** Whether another endpoint may get the request now. */
	const mayTryElsewhere = (call: Call): boolean =>
		call.attempts < call.route.mostEndpoints && performance.now() < call.deadlineAt && !call.reply.isGone()
		&& budgetOf(call.service).withdraw();

	const limitOf = (call: Call): {headMs: number; eventMs: number} => {
		const {route} = call;
		const lastMs = call.deadlineAt - performance.now();
		if (!mayRunAgain(call) || call.attempts >= route.mostEndpoints) {
			return {headMs: lastMs, eventMs: lastMs};
		}

		return route.kind === 'stream'
			? {headMs: route.targetMs * silentStreamTargets, eventMs: Math.max(leastSilentPauseMs, (route.targetPauseMs ?? 0) * silentPauses)}
			: {headMs: route.targetMs * silentTargets, eventMs: route.targetMs};
	};

	/** What an attempt's end teaches about the endpoint. */
	const learn = (call: Call, chosen: Choice, end: AttemptEnd, sentAt: number): void => {
		const {id} = chosen.endpoint;
		const {facts, firstAt} = call.progress;
		if (facts?.load !== undefined) {
			book.told(id, facts.load);
		}

		if (facts?.weights !== undefined && call.prompt !== undefined) {
			versions.seen(id, facts.weights);
		}

		if (end.kind === 'answered') {
			health.succeeded(id);
			if (firstAt !== undefined && call.prompt !== undefined) {
				book.learn(id, firstAt - sentAt, chosen.missingTokens, chosen.pendingTokens);
			}
		} else if (end.kind === 'failed' && failureClasses[end.failure].blamesEndpoint && performance.now() < call.deadlineAt - deadlineMarginMs) {
			health.failed(id);
		}
	};

	const dispatchFor = (call: Call, {endpoint, weights, cacheScope, fetchFrom, saveTo}: Choice) => ({
		endpointId: endpoint.id,
		remainingMs: call.deadlineAt - performance.now(),
		workspace: call.workspace?.name,
		weights,
		cacheScope,
		priority: call.prompt === undefined ? undefined : Math.min(9, Math.max(0, call.workspace?.rank ?? call.route.rank)),
		resumeAfter: call.progress.lastEventId ?? call.facts.resumeAfter,
		fetchFrom,
		saveTo,
	});

	const attempt = async (call: Call, chosen: Choice): Promise<AttemptEnd> => {
		const {endpoint} = chosen;
		const target = {name: endpoint.id, address: `http://${endpoint.address}`};
		const limits = limitOf(call);
		const sentAt = performance.now();
		call.progress.facts = undefined;
		call.progress.firstAt = undefined;
		const work = book.start(endpoint.id, {
			missingTokens: chosen.missingTokens,
			memoryTokens: call.prompt === undefined ? 0 : call.prompt.promptTokens + call.prompt.outputTokens,
		});
		if (call.prompt !== undefined) {
			choice.placed(chosen, call.prompt);
		}

		options.transport.trustIds(target);
		const end = await runAttempt({
			transport: options.transport,
			headers,
			request: {
				endpoint: target,
				method: call.req.method ?? 'GET',
				path: call.req.url ?? '/',
				headers: headers.forEndpoint(call.req.rawHeaders, dispatchFor(call, chosen)),
				...(call.body !== undefined && call.body.length > 0 && {body: {kind: 'whole', content: call.body}}),
				ownConnection: false,
			},
			requestId: call.facts.requestId,
			reply: call.reply,
			isStream: call.route.kind === 'stream',
			progress: call.progress,
			headSilenceMs: limits.headMs,
			eventSilenceMs: limits.eventMs,
			deadlineAt: call.deadlineAt,
			onBegun: work.begun,
		});
		work.ended();
		learn(call, chosen, end, sentAt);
		return end;
	};

	/** What follows when the endpoint proved that it ran nothing. */
	const afterNotRun = (call: Call): Verdict => {
		if (mayTryElsewhere(call)) {
			return {kind: 'next', reason: 'not_run'};
		}

		return call.mayHaveRun ? {kind: 'refuse', name: 'endpoint_failed'} : {kind: 'refuse', name: 'endpoint_refused', retryAfterMs: comeBackMs};
	};

	const afterFailure = (call: Call, failure: keyof typeof failureClasses): Verdict => {
		if (failureClasses[failure].reach === 'nothing') {
			// The endpoint never had the request, so it doesn't count as sent there.
			call.attempts--;
			if (performance.now() < call.deadlineAt && call.excluded.size < mostUnreached) {
				return {kind: 'next', reason: failure};
			}

			return call.mayHaveRun ? {kind: 'refuse', name: 'endpoint_failed'} : {kind: 'refuse', name: 'no_endpoint', retryAfterMs: comeBackMs};
		}

		call.mayHaveRun = true;
		if (mayRunAgain(call) && mayTryElsewhere(call)) {
			return {kind: 'next', reason: failure};
		}

		return {kind: 'refuse', name: failure === 'late' || failure === 'silent' ? 'endpoint_late' : 'endpoint_failed'};
	};

	const afterError = (call: Call, answer: WholeAnswer): Verdict => {
		call.mayHaveRun = true;
		call.errorAnswer = answer;
		return mayRunAgain(call) && mayTryElsewhere(call) ? {kind: 'next', reason: 'error_answer'} : {kind: 'done', reason: 'error_answer'};
	};

	const judge = (call: Call, end: AttemptEnd): Verdict => {
		switch (end.kind) {
			case 'answered': {
				return {kind: 'done', reason: 'answered'};
			}

			case 'callerLeft': {
				return {kind: 'done', reason: 'caller_left'};
			}

			case 'notRun': {
				return afterNotRun(call);
			}

			case 'errorAnswer': {
				return afterError(call, end.answer);
			}

			case 'failed': {
				return afterFailure(call, end.failure);
			}
		}
	};

	/** One attempt after another until there is a verdict. */
	const run = async (call: Call): Promise<Verdict> => {
		for (;;) {
			const chosen = choice.choose({service: call.service, prompt: call.prompt, excluded: call.excluded});
			if (chosen === undefined) {
				return call.mayHaveRun ? {kind: 'refuse', name: 'endpoint_failed'} : {kind: 'refuse', name: 'no_endpoint', retryAfterMs: comeBackMs};
			}

			call.choice = chosen;
			call.attempts++;
			const sentAt = performance.now();
			const end = await attempt(call, chosen);
			call.excluded.add(chosen.endpoint.id);
			const verdict = judge(call, end);
			if (end.kind !== 'answered' && end.kind !== 'callerLeft') {
				options.events.attemptFailed({
					requestId: call.facts.requestId, endpoint: chosen.endpoint.id, service: call.service, reason: reasonOf(end), ms: performance.now() - sentAt, next: verdict.kind,
				});
			}

			if (verdict.kind !== 'next') {
				return verdict;
			}
		}
	};

	const conclude = (call: Call, verdict: Verdict): string => {
		const {reply} = call;
		if (verdict.kind === 'done' && call.errorAnswer !== undefined && !reply.isStarted() && !reply.isGone()) {
			sendWhole(reply, headers, call.errorAnswer);
			return verdict.reason;
		}

		if (verdict.kind !== 'refuse') {
			if (call.errorAnswer !== undefined && reply.isStarted()) {
				reply.cut();
			}

			return verdict.reason;
		}

		if (reply.isStarted()) {
			reply.cut();
		} else if (call.errorAnswer !== undefined && !reply.isGone()) {
			sendWhole(reply, headers, call.errorAnswer);
		} else if (!reply.isGone()) {
			ownAnswer(reply, call.facts, verdict.name, verdict.retryAfterMs);
		}

		return verdict.name;
	};

	const unitsOf = (facts: CallFacts, workspace: Workspace): number =>
		workspace.countsTokens && facts.promptTokens !== undefined ? facts.promptTokens + (facts.outputTokens ?? 0) : workspace.plainUnits;

	const promptOf = (facts: CallFacts, workspace: Workspace | undefined): PromptNeed | undefined =>
		facts.model === undefined
			? undefined
			: {
				model: facts.model,
				parts: facts.parts,
				promptTokens: facts.promptTokens ?? 0,
				outputTokens: facts.outputTokens ?? 0,
				wall: workspace?.isIsolated === true ? workspace.name : '',
			};

	/** Key and route; answers itself when there is neither. */
	const open = (accepted: AcceptedDocument | undefined, req: IncomingMessage, facts: CallFacts): {route: Route; workspace: Workspace | undefined} | RefusalName => {
		if (options.isClosed()) {
			return 'stopping';
		}

		if (accepted === undefined) {
			return 'no_document';
		}

		const route = accepted.routes.lookUp(req.headers.host ?? '', req.url ?? '/');
		if (route === undefined) {
			return 'no_route';
		}

		if (route.isPublic || accepted.document.workspaces.length === 0) {
			return {route, workspace: undefined};
		}

		const workspace = facts.keyDigest === undefined ? undefined : accepted.workspaceOfKey.get(facts.keyDigest);
		return workspace === undefined ? 'no_key' : {route, workspace};
	};

	const handle = async (req: IncomingMessage, body: Buffer | undefined, res: ServerResponse): Promise<void> => {
		const startedAt = performance.now();
		const facts = headers.readCall(req.rawHeaders);
		const reply = createCallerReply(res);
		const opened = open(view.current(), req, facts);
		const tell = (reason: string, call?: Call): void => {
			const now = performance.now();
			options.events.ended({
				requestId: facts.requestId,
				route: call?.route.name,
				workspace: call?.workspace?.name,
				service: call?.service,
				endpoint: call?.choice?.endpoint.id,
				status: reply.status(),
				attempts: call?.attempts ?? 0,
				ms: now - startedAt,
				firstMs: call?.progress.firstAt === undefined ? undefined : call.progress.firstAt - startedAt,
				expectedMs: call?.choice?.expectedMs,
				reason,
			});
		};

		if (typeof opened === 'string') {
			ownAnswer(reply, facts, opened, opened === 'no_document' ? noDocumentMs : 0);
			tell(opened);
			return;
		}

		const {route, workspace} = opened;
		const admission = workspace === undefined ? undefined : quota.admit(workspace, unitsOf(facts, workspace));
		if (admission?.granted === false) {
			ownAnswer(reply, facts, 'over_quota', admission.retryAfterMs);
			tell('over_quota');
			return;
		}

		const call: Call = {
			req,
			body,
			facts,
			reply,
			route,
			workspace,
			service: chooseService(route, options.random()) ?? '',
			prompt: promptOf(facts, workspace),
			startedAt,
			deadlineAt: startedAt + Math.min(facts.remainingMs ?? route.timeoutMs, route.timeoutMs),
			excluded: new Set(),
			attempts: 0,
			mayHaveRun: false,
			progress: {
				hasLeft: false, firstAt: undefined, lastEventId: undefined, facts: undefined,
			},
			choice: undefined,
			errorAnswer: undefined,
		};
		budgetOf(call.service).deposit();
		const verdict = await run(call);
		const reason = conclude(call, verdict);
		if (verdict.kind === 'refuse' && !call.mayHaveRun) {
			admission?.refund();
		}

		tell(reason, call);
	};

	return {
		async handle(req, body, res) {
			underWay++;
			try {
				await handle(req, body, res);
			} finally {
				underWay--;
			}
		},
		underWay: () => underWay,
	};
}

/** Endpoints that a request may fail to reach before it is given up. */
const mostUnreached = 4;

function reasonOf(end: AttemptEnd): string {
	if (end.kind === 'failed') {
		return end.failure;
	}

	return end.kind === 'notRun' ? `not_run_${end.status}` : end.kind;
}
