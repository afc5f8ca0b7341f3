/** Runs one attempt of a request and records what its outcome shows about the endpoint. */
import {type ResponseFacts, type CallHeaders, type Dispatch} from '../fleet/call-headers.js';
import {type EndpointPresence} from '../fleet/endpoint-presence.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type EndpointTransport, type Exchange, type ExchangeEvents} from '../orders/endpoint-transport.js';
import {connectionLossFailures, failureClasses, type FailureClass} from '../orders/failure-classes.js';
import {type EndpointLoadTracker, firstMsAtUsualPace} from '../placing/endpoint-load-tracker.js';
import {type Choice, type EndpointChoice} from '../placing/endpoint-choice.js';
import {type BrittleEndpoints} from '../placing/brittle-endpoints.js';
import {type EndpointBackoff} from '../placing/endpoint-backoff.js';
import {type EndpointLimits} from '../placing/endpoint-limits.js';
import {type CrashWatch} from '../quarantine/crash-watch.js';
import {type EndpointPaths} from '../paths/endpoint-paths.js';
import {type Relay} from '../paths/relay.js';
import {type HealthTracker} from '../routing/health.js';
import {type StreamOrigin, streamKey} from '../streams/stream-origin.js';
import {type StreamOrigins} from '../streams/stream-origins.js';
import {type EngineVersions} from '../weights/engine-versions.js';
import {type WeightsDeadlines} from '../weights/weights-deadlines.js';
import {type AttemptEnd, runAttempt} from './attempt.js';
import {type AttemptMoves} from './attempt-moves.js';
import {createAttemptPaths} from './attempt-path.js';
import {type Call, mayRunAgain, rankOf} from './call.js';
import {createNoticeRecorder, isOwnResponse} from './endpoint-notices.js';
import {silenceTimeouts} from './silence-timeouts.js';

/** Options of {@link createEndpointSender}. */
export type EndpointSenderOptions = AttemptMoves & {
	view: FleetView;
	headers: CallHeaders;
	choice: EndpointChoice;
	loadTracker: EndpointLoadTracker;
	health: HealthTracker;
	presence: EndpointPresence;
	versions: EngineVersions;
	weightsDeadlines: WeightsDeadlines;
	transport: EndpointTransport;
	crashWatch: CrashWatch;
	limits: EndpointLimits;
	backoff: EndpointBackoff;
	brittle: BrittleEndpoints;
	paths: EndpointPaths;
	relay: Relay;
	origins: Pick<StreamOrigins, 'began'>;
};

/** Sends a request to the chosen endpoint; resolves when the attempt has ended, never rejects. */
export type SendToEndpoint = (call: Call, chosen: Choice) => Promise<AttemptEnd>;

/** Failures this close to the deadline are timeouts of the request and don't count against the endpoint. */
const deadlineMarginMs = 50;

/** Delay of events that are forwarded together, as a fraction of the target pause. */
const eventBatchRatio = 0.2;

/** The lowest priority that endpoints accept. */
const lowestPriority = 9;

/** Longest event id that is reported to peers, in characters. */
const maxPositionChars = 16;

/** Id of the last event that the caller has; empty if none. */
const streamPosition = ({progress, facts}: Call): string => (progress.lastEventId ?? facts.resumeAfter ?? '').slice(0, maxPositionChars);

/** Creates a sender. */
export function createEndpointSender(options: EndpointSenderOptions): SendToEndpoint {
	const {
		view, headers, choice, loadTracker: book, health, presence, versions, transport, crashWatch, limits, backoff, brittle, paths, relay,
	} = options;
	const attemptPaths = createAttemptPaths({
		paths, relay, brittle, presence,
	});
	const recordNotices = createNoticeRecorder({
		view, limits, backoff, brittle,
	});

	const dispatchFor = (call: Call, {endpoint, weights, cacheScope, fetchFrom, saveTo}: Choice): Dispatch => ({
		endpointId: endpoint.id,
		remainingMs: call.deadlineAt - performance.now(),
		workspace: call.workspace?.name,
		weights,
		cacheScope,
		priority: call.prompt === undefined ? undefined : Math.min(lowestPriority, Math.max(0, rankOf(call))),
		resumeAfter: call.progress.lastEventId ?? call.facts.resumeAfter,
		fetchFrom,
		saveTo,
	});

	/** Milliseconds since the weights that the endpoint was chosen for were replaced. */
	const weightsAgeMs = ({prompt}: Call, {weights}: Choice): number | undefined =>
		prompt === undefined || weights === undefined ? undefined : view.namedWeights(prompt.model)?.outdatedMs(weights);

	/** Aborts the attempt if it still waits when its engine is about to be ordered to load weights, and another engine may get it. */
	const watchOrder = (call: Call, {endpoint, weights}: Choice, abort: (failure: FailureClass) => void): () => void => {
		if (call.prompt === undefined || weights === undefined) {
			return () => undefined;
		}

		return versions.watchOrder(endpoint.id, () => {
			if (call.progress.firstAt === undefined && options.mayMoveAway(call)) {
				abort('drained');
			}
		});
	};

	/** Aborts the attempt if it hasn't begun once its weights are too old; a response in progress only ends if it goes on elsewhere. */
	const watchWeights = (call: Call, {endpoint, weights}: Choice, abort: (failure: FailureClass) => void): () => void => {
		if (call.prompt === undefined || weights === undefined) {
			return () => undefined;
		}

		const {model} = call.prompt;
		/** The engine has loaded newer weights while the request runs. */
		const hasLoaded = (): boolean => versions.of(endpoint, model).version > weights;

		return options.weightsDeadlines.watch({
			model,
			weights,
			onOutdated() {
				if (call.progress.firstAt === undefined || (!hasLoaded() && options.mayMoveAway(call))) {
					abort('outdated');
				}
			},
		});
	};

	/** The list may have told of another process under the endpoint's id since the choice. */
	const originAt = ({id, service, software}: LiveEndpoint): StreamOrigin => ({service, software: view.endpoint(id)?.software ?? software});

	/** Called before the caller gets events. */
	const recordBegin = (call: Call, endpoint: LiveEndpoint): void => {
		if (call.hasEvents) {
			return;
		}

		call.hasEvents = true;
		call.origin ??= originAt(endpoint);
		const firstAttempt = call.facts.resumes ?? call.facts.requestId;
		if (firstAttempt !== undefined && mayRunAgain(call)) {
			options.origins.began(streamKey(call.workspace?.name, firstAttempt), call.origin);
		}
	};

	const recordNotRun = (endpoint: LiveEndpoint, facts: ResponseFacts | undefined): void => {
		if (!isOwnResponse(endpoint, facts)) {
			presence.replaced(endpoint);
		} else if (facts === undefined || facts.backoffMs === 0) {
			presence.declined(endpoint);
			brittle.turnedAway(endpoint);
		}
	};

	const recordWeights = (call: Call, {endpoint, weights}: Choice): void => {
		const {facts} = call.progress;
		if (call.prompt === undefined || facts === undefined || !isOwnResponse(endpoint, facts)) {
			return;
		}

		if (facts.isMisdirected && weights !== undefined) {
			versions.disproved(endpoint.id, weights);
		}

		if (facts.weights !== undefined) {
			versions.seen(endpoint.id, facts.weights);
		}
	};

	const recordPresence = (call: Call, {endpoint}: Choice, end: AttemptEnd): void => {
		if (end.kind === 'answered') {
			presence.accepted(endpoint);
		} else if (end.kind === 'notRun') {
			recordNotRun(endpoint, call.progress.facts);
		}
	};

	/** A failure behind a peer may be the peer's, and one to connect may be the network's. */
	const provesEndpointFault = (call: Call, failure: FailureClass): boolean =>
		call.pathKind === 'own' && failure !== 'connect_failed' && failureClasses[failure].blamesEndpoint && performance.now() < call.deadlineAt - deadlineMarginMs;

	const recordHealth = (call: Call, {endpoint}: Choice, end: AttemptEnd): void => {
		if (end.kind === 'answered') {
			health.succeeded(endpoint.id);
		} else if (end.kind === 'failed' && provesEndpointFault(call, end.failure)) {
			health.failed(endpoint.id);
		}
	};

	const recordOutcome = (call: Call, chosen: Choice, end: AttemptEnd, sentAt: number): void => {
		const {id} = chosen.endpoint;
		const {facts, firstAt} = call.progress;
		if (facts?.load !== undefined) {
			book.recordReportedLoad(id, facts.load);
		}

		if (end.kind === 'answered' && firstAt !== undefined && call.prompt !== undefined) {
			const firstMs = firstMsAtUsualPace(Math.max(0, firstAt - sentAt - chosen.fetchMs), chosen.paceRatio, facts?.load?.paceRatio);
			book.updateEstimates(id, firstMs, chosen.missingTokens, chosen.pendingTokens);
		}

		if (end.kind === 'failed' && connectionLossFailures.has(end.failure)) {
			crashWatch.reportBrokenConnection(chosen.endpoint, {digest: call.digest, position: streamPosition(call), parts: call.parts});
		}

		recordWeights(call, chosen);
		attemptPaths.recordEnd(call, chosen.endpoint, end);
		recordPresence(call, chosen, end);
		recordHealth(call, chosen, end);
	};

	return async (call, chosen) => {
		const {endpoint} = chosen;
		const target = {name: endpoint.id, address: `http://${endpoint.address}`};
		const {headMs, eventMs} = silenceTimeouts(call, chosen.paceRatio);
		const sentAt = performance.now();
		call.sentAt = sentAt;
		call.weightsAgeMs = weightsAgeMs(call, chosen);
		call.begunWeightsAgeMs = undefined;
		call.progress.facts = undefined;
		call.progress.firstAt = undefined;
		const work = book.start(endpoint.id, {
			missingTokens: chosen.missingTokens,
			memoryTokens: call.prompt === undefined ? 0 : call.prompt.promptTokens + call.prompt.outputTokens,
			outputTokens: call.prompt?.outputTokens ?? 0,
		});
		if (call.prompt !== undefined) {
			choice.placed(chosen, call.prompt);
		}

		limits.recordSent(endpoint);
		call.pathKind = attemptPaths.choose(call, endpoint);
		call.peer = undefined;
		const isOnce = !mayRunAgain(call);
		const request = {
			method: call.req.method ?? 'GET',
			path: call.req.url ?? '/',
			headers: headers.forEndpoint(call.req.rawHeaders, dispatchFor(call, chosen)),
			...(call.body !== undefined && call.body.length > 0 && {body: {kind: 'whole' as const, content: call.body}}),
		};
		transport.allowConnectionReuse(target);
		const isOwnPath = call.pathKind === 'own';
		const leaveEndpoint = isOwnPath ? brittle.started(endpoint) : undefined;
		const watch = isOwnPath
			? paths.watch(endpoint, () => {
				call.leavePath?.();
			})
			: undefined;
		const send = (events: ExchangeEvents): Exchange => {
			if (isOwnPath) {
				return transport.send({...request, endpoint: target, dedicatedConnection: paths.isUnproven(endpoint)}, events);
			}

			return relay.send({
				...request,
				endpoint,
				isOnce,
				isGuarded: call.pathKind === 'gatekeeper',
				weights: chosen.weights,
				onPeer(peer) {
					call.peer = peer;
				},
			}, events);
		};

		let endWeightsWatch = (): void => undefined;
		let endOrderWatch = (): void => undefined;
		const end = await runAttempt({
			send,
			headers,
			requestId: call.facts.requestId,
			reply: call.reply,
			isStream: call.route.kind === 'stream',
			progress: call.progress,
			eventBatchMs: (call.route.targetPauseMs ?? 0) * eventBatchRatio,
			headTimeoutMs: headMs,
			eventTimeoutMs: eventMs,
			mayMoveAway: () => options.mayMoveAway(call),
			mayLeavePath: () => options.mayLeavePath(call),
			deadlineAt: call.deadlineAt,
			buffer: call.buffer,
			maySend: () => call.grant?.use() ?? true,
			onWritten() {
				call.writtenAt = performance.now();
			},
			onHead(facts) {
				recordNotices(endpoint, facts);
				if (facts.load?.paceRatio !== undefined && isOwnResponse(endpoint, facts)) {
					book.recordPace(endpoint.id, facts.load.paceRatio);
				}
			},
			onResponseStart() {
				work.begun();
				call.onBegun?.();
				call.begunWeightsAgeMs = weightsAgeMs(call, chosen);
			},
			onEvents() {
				recordBegin(call, endpoint);
			},
			onBytes: watch?.heard,
			onAbortable(abort) {
				call.cancel = () => {
					if (call.progress.firstAt === undefined) {
						abort('cancelled');
					}
				};

				call.endAttempt = () => {
					abort('stopped');
				};

				endWeightsWatch = watchWeights(call, chosen, abort);
				endOrderWatch = watchOrder(call, chosen, abort);
			},
			onPathWatched(leavePath) {
				call.leavePath = leavePath;
			},
		});
		call.endAttempt = undefined;
		endWeightsWatch();
		endOrderWatch();
		watch?.ended();
		leaveEndpoint?.();
		work.ended(end.kind === 'answered');
		recordOutcome(call, chosen, end, sentAt);
		return end;
	};
}
