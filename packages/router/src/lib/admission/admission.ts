/**
 * Decides on arrival, on each wake-up and before each further attempt whether a request is sent to the
 * endpoint chosen for it, waits or is refused. Requests that wait are woken by events and by one timer.
 */
import {type FleetView} from '../fleet/fleet-view.js';
import {type ChoiceRequest} from '../placing/choice-request.js';
import {type Choice} from '../placing/endpoint-choice.js';
import {type EndpointLoadTracker} from '../placing/endpoint-load-tracker.js';
import {
	type AdmissionDecision, decideAdmission, retryAfterMs, type RefusalReason,
} from './admission-decision.js';
import {
	type CapacityForecast, type CapacityForecastOptions, createCapacityForecast, type ExpectedCapacity,
} from './capacity-forecast.js';
import {createIdleEndpoints} from './idle-endpoints.js';
import {createServiceTurnover} from './service-turnover.js';
import {createWaitingQueue, type WaitingRequest} from './waiting-queue.js';

/** Options of {@link createAdmission}. */
export type AdmissionOptions = Omit<CapacityForecastOptions, 'turnover' | 'view' | 'loadTracker'> & {
	view: Pick<FleetView, 'endpointsOf' | 'onEndpoint'>;
	loadTracker: EndpointLoadTracker;
	choose: (request: ChoiceRequest) => Choice | undefined;
	/** Returns a number in [0, 1). */
	random: () => number;
};

/** A request that asks for endpoints. */
export type AdmissionRequest = {
	service: string;
	rank: number;
	/** Empty for public routes. */
	workspace: string;
	/** `performance.now()` at which the caller gives up. */
	deadlineAt: number;
	/** Time in milliseconds that callers of the route have at first. */
	timeoutMs: number;
	/** Time in milliseconds in which the response is wanted. */
	targetMs: number;
	/** Size of the body. */
	bytes: number;
};

/** What becomes of a request. */
export type Admitted
	= | {kind: 'send'; choice: Choice; ended: () => void}
		/** The request is decided on again once `turn` has resolved. */
		| {kind: 'wait'; turn: Promise<void>}
		| {kind: 'refuse'; reason: RefusalReason; expectedMs: number; retryAfterMs: number};

/** The admission of one request. */
export type AdmissionTicket = {
	/** Decides on the request now. A choice is to be sent at once, since the next decision rests on it. */
	decide: (choiceRequest: ChoiceRequest, mayWait: boolean) => Admitted;
	/** Ends the wait, so that the request is decided on again. */
	wake: () => void;
	/** The request has ended or is refused for another reason. */
	leave: () => void;
	/** Milliseconds for which it has waited. */
	waitedMs: () => number;
};

/** Number of waiting requests of one service and rank. */
export type WaitingCount = {service: string; rank: number; count: number};

/** The admission of one daemon. */
export type Admission = {
	ticketFor: (request: AdmissionRequest) => AdmissionTicket;
	/** Peers have reported their load, or a request of a service has begun. */
	capacityChanged: () => void;
	/** Wakes all requests that wait; called on shutdown. */
	wakeAll: () => void;
	waiting: () => WaitingCount[];
};

/** A request, and its place in the queue while it waits. */
type Entry = WaitingRequest & {
	service: string;
	choiceRequest: ChoiceRequest | undefined;
	targetMs: number;
	waitingSince: number | undefined;
	waitedMs: number;
	/** `performance.now()` at which the request is decided on again without an event. */
	checkAt: number;
	/** Shortest time to its first event once it is sent. */
	serviceMs: number;
	/** It has been displaced by another request. */
	isDisplaced: boolean;
	wake: () => void;
};

/** Requests of a service that are woken one after the other; each is sent, or ends the round for its lane. */
type Round = {
	/** The request that has been woken. */
	current: Entry | undefined;
	/** Lanes whose first request can't be sent now. */
	blocked: Set<string>;
	/** Another event has occurred since the round began. */
	isRepeated: boolean;
};

/** Bounds on what waits. More couldn't be served within the time of their callers, and the bodies must leave a process of 178 MB enough memory. */
const maxWaiting = 1024;
const maxWaitingBytes = 16 * 1024 * 1024;

/** A request with less than this fraction of its route's time has probably been refused before. */
const returnTimeRatio = 0.85;

/** Shortest time in milliseconds until a waiting request is decided on again without an event, so that no timer fires continuously. */
const minCheckMs = 10;

/** Time between two reviews of waiting requests that no longer can be served in their time. */
const reviewMs = 100;

/** Creates the admission of one daemon. */
export function createAdmission(options: AdmissionOptions): Admission {
	const {view, loadTracker, choose, random} = options;
	const idleEndpoints = createIdleEndpoints({view, loadTracker});
	const turnover = createServiceTurnover();
	const forecast: CapacityForecast = createCapacityForecast({...options, turnover});
	const queue = createWaitingQueue<Entry>({maxCount: maxWaiting, maxBytes: maxWaitingBytes});
	const rounds = new Map<string, Round>();
	const reviewedAt = new Map<string, number>();
	let timer: NodeJS.Timeout | undefined;
	let timerAt = Number.POSITIVE_INFINITY;

	const lanesOf = (service: string): string[] => [...new Set([...queue.all()].filter(entry => entry.service === service).map(({lane}) => lane))];

	/** The request that is sent next; requests that only some endpoints may get go first among those of their rank. */
	const nextOf = (service: string, blocked: ReadonlySet<string>): Entry | undefined => {
		let next: Entry | undefined;
		for (const lane of lanesOf(service)) {
			const first = blocked.has(lane) ? undefined : queue.first(lane);
			if (first !== undefined && (next === undefined || first.rank < next.rank || (first.rank === next.rank && next.lane === service))) {
				next = first;
			}
		}

		return next;
	};

	const continueRound = (service: string): void => {
		const round = rounds.get(service);
		if (round === undefined) {
			return;
		}

		round.current = nextOf(service, round.blocked);
		if (round.current !== undefined) {
			round.current.wake();
			return;
		}

		rounds.delete(service);
		if (round.isRepeated) {
			startRound(service);
		}
	};

	const startRound = (service: string): void => {
		if (queue.size() === 0) {
			return;
		}

		const round = rounds.get(service);
		if (round !== undefined) {
			round.isRepeated = true;
			return;
		}

		rounds.set(service, {current: undefined, blocked: new Set(), isRepeated: false});
		continueRound(service);
		review(service);
	};

	/** The woken request is sent, blocked, or gone. The next one is woken once this one has been sent. */
	const settleTurn = (entry: Entry, isBlocked: boolean): void => {
		const round = rounds.get(entry.service);
		if (round?.current !== entry) {
			return;
		}

		if (isBlocked) {
			round.blocked.add(entry.lane);
		}

		queueMicrotask(() => {
			continueRound(entry.service);
		});
	};

	const endWait = (entry: Entry, wasSent: boolean): void => {
		queue.remove(entry, wasSent);
		if (entry.waitingSince !== undefined) {
			entry.waitedMs += performance.now() - entry.waitingSince;
			entry.waitingSince = undefined;
		}
	};

	const onTimer = (): void => {
		timer = undefined;
		timerAt = Number.POSITIVE_INFINITY;
		const now = performance.now();
		const services = new Set<string>();
		for (const entry of queue.all()) {
			if (entry.checkAt > now) {
				continue;
			}

			services.add(entry.service);
			const endsAt = entry.deadlineAt - entry.serviceMs;
			entry.checkAt = Math.max(endsAt, now + minCheckMs);
			if (endsAt <= now) {
				entry.wake();
			}
		}

		for (const service of services) {
			startRound(service);
		}

		setTimer();
	};

	const setTimer = (): void => {
		let at = Number.POSITIVE_INFINITY;
		for (const {checkAt} of queue.all()) {
			at = Math.min(at, checkAt);
		}

		if (at === timerAt) {
			return;
		}

		clearTimeout(timer);
		timerAt = at;
		timer = Number.isFinite(at) ? setTimeout(onTimer, Math.max(0, at - performance.now()) + 1) : undefined;
	};

	/** Moves the timer to an earlier time if need be; one that is too early does no harm. */
	const checkAtLatest = (at: number): void => {
		if (at < timerAt) {
			clearTimeout(timer);
			timerAt = at;
			timer = setTimeout(onTimer, Math.max(0, at - performance.now()) + 1);
		}
	};

	/** Milliseconds until the requests before this one have been taken; 0 if their rate isn't known. */
	const queueMsOf = (entry: Entry, {perMs}: ExpectedCapacity): number =>
		perMs === 0 ? 0 : queue.countBefore(entry) / perMs;

	/** Wakes the requests that are no longer expected to be served in their time, so that they are refused early. */
	const review = (service: string): void => {
		const now = performance.now();
		if (now - (reviewedAt.get(service) ?? Number.NEGATIVE_INFINITY) < reviewMs) {
			return;
		}

		reviewedAt.set(service, now);
		const forecasts = new Map<string, ReturnType<CapacityForecast>>();
		for (const entry of queue.all()) {
			if (entry.service !== service || entry.choiceRequest === undefined) {
				continue;
			}

			if (!forecasts.has(entry.lane)) {
				forecasts.set(entry.lane, forecast(entry.choiceRequest));
			}

			const expected = forecasts.get(entry.lane);
			if (expected === undefined || Math.max(expected.ms, queueMsOf(entry, expected)) + entry.serviceMs > entry.deadlineAt - now) {
				entry.wake();
			}
		}
	};

	/** The choice among the idle endpoints; the sampled ones may all be busy. */
	const chooseIdle = (request: ChoiceRequest): Choice | undefined => {
		const busy = idleEndpoints.busyUnlessAll(request.service);
		return busy && choose({...request, excluded: new Set([...request.excluded, ...busy])});
	};

	const isPreceded = (entry: Entry): boolean =>
		queue.size() > 0 && (queue.countBefore(entry) > 0 || (entry.lane !== entry.service && queue.countMoreUrgent(entry.service, entry.rank) > 0));

	const send = (entry: Entry, choice: Choice): Admitted => {
		endWait(entry, true);
		settleTurn(entry, false);
		const ended = turnover.started(entry.service);
		return {
			kind: 'send',
			choice,
			ended() {
				ended();
				startRound(entry.service);
			},
		};
	};

	const refuse = (entry: Entry, reason: RefusalReason, expectedMs: number): Admitted => {
		endWait(entry, false);
		settleTurn(entry, false);
		return {
			kind: 'refuse',
			reason,
			expectedMs,
			retryAfterMs: retryAfterMs({
				expectedMs, remainingMs: entry.deadlineAt - performance.now(), targetMs: entry.targetMs, random,
			}),
		};
	};

	const wait = (entry: Entry, checkAt: number): Admitted => {
		const turn = new Promise<void>(resolve => {
			entry.wake = resolve;
		});
		entry.checkAt = checkAt;
		entry.waitingSince ??= performance.now();
		if (!queue.has(entry)) {
			for (const displaced of queue.add(entry)) {
				displaced.isDisplaced = true;
				displaced.wake();
			}
		}

		checkAtLatest(checkAt);
		settleTurn(entry, true);
		return {kind: 'wait', turn};
	};

	/** Decides on a request for which there is no endpoint now. */
	const decideWithout = (entry: Entry, request: ChoiceRequest, mayWait: boolean): Admitted => {
		const now = performance.now();
		const expected = mayWait ? forecast(request) : undefined;
		const serviceMs = expected?.serviceMs ?? 0;
		const decision: AdmissionDecision = decideAdmission({
			remainingMs: entry.deadlineAt - now,
			expectedMs: undefined,
			isIdle: false,
			capacityMs: expected?.ms,
			queueMs: expected === undefined ? 0 : queueMsOf(entry, expected),
			serviceMs,
			hasQueueRoom: queue.has(entry) || (!entry.isDisplaced && queue.hasRoomFor(entry)),
		});
		if (decision.kind === 'refuse') {
			// A request that has waited was refused for the load, whatever the reason at last.
			const reason = decision.reason === 'unavailable' && entry.waitingSince !== undefined ? 'late' : decision.reason;
			return refuse(entry, reason, decision.expectedMs);
		}

		entry.serviceMs = serviceMs;
		return wait(entry, Math.max(now + minCheckMs, Math.min(entry.deadlineAt - serviceMs, now + expected!.timedMs)));
	};

	const decide = (entry: Entry, request: ChoiceRequest, mayWait: boolean): Admitted => {
		entry.choiceRequest = request;
		if (mayWait && isPreceded(entry)) {
			return decideWithout(entry, request, mayWait);
		}

		const choice = choose(request);
		const remainingMs = entry.deadlineAt - performance.now();
		if (choice === undefined) {
			return decideWithout(entry, request, mayWait);
		}

		const decision = decideAdmission({
			remainingMs, expectedMs: choice.expectedMs, isIdle: idleEndpoints.isIdle(choice.endpoint), capacityMs: undefined, queueMs: 0, serviceMs: 0, hasQueueRoom: false,
		});
		if (decision.kind === 'send') {
			return send(entry, choice);
		}

		const idle = chooseIdle(request);
		return idle === undefined ? refuse(entry, 'late', choice.expectedMs) : send(entry, idle);
	};

	view.onEndpoint((_id, endpoint, before) => {
		for (const service of new Set([endpoint?.service, before?.service])) {
			if (service !== undefined) {
				startRound(service);
			}
		}
	});

	return {
		ticketFor({
			service, rank, workspace, deadlineAt, timeoutMs, targetMs, bytes,
		}) {
			const entry: Entry = {
				service,
				lane: service,
				rank,
				workspace,
				isReturn: deadlineAt - performance.now() < timeoutMs * returnTimeRatio,
				deadlineAt,
				bytes,
				choiceRequest: undefined,
				targetMs,
				waitingSince: undefined,
				waitedMs: 0,
				checkAt: Number.POSITIVE_INFINITY,
				serviceMs: 0,
				isDisplaced: false,
				wake: () => undefined,
			};
			return {
				decide(request, mayWait) {
					if (!queue.has(entry)) {
						// A request that only some endpoints may get must not hold up the others.
						const isLimited = request.excluded.size > 0 || request.software !== undefined;
						entry.lane = isLimited ? `${service} ${request.software ?? ''} ${[...request.excluded].join(' ')}` : service;
					}

					return decide(entry, request, mayWait);
				},
				wake() {
					entry.wake();
				},
				leave() {
					endWait(entry, false);
					settleTurn(entry, false);
				},
				waitedMs: () => entry.waitedMs + (entry.waitingSince === undefined ? 0 : performance.now() - entry.waitingSince),
			};
		},
		capacityChanged() {
			for (const service of new Set([...queue.all()].map(entry => entry.service))) {
				startRound(service);
			}
		},
		wakeAll() {
			for (const entry of queue.all()) {
				entry.wake();
			}
		},
		waiting() {
			const counts = new Map<string, WaitingCount>();
			for (const {service, rank} of queue.all()) {
				const key = `${rank} ${service}`;
				const known = counts.get(key) ?? {service, rank, count: 0};
				counts.set(key, {...known, count: known.count + 1});
			}

			return [...counts.values()];
		},
	};
}
