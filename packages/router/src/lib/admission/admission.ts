/**
 * Decides on arrival, on each wake-up and before each further attempt whether a request is sent to the
 * endpoint chosen for it, waits or is refused. Requests that wait are woken by events and by one timer.
 */
import {type FleetView} from '../fleet/fleet-view.js';
import {type Log} from '../observability/log.js';
import {type ChoiceRequest} from '../placing/choice-request.js';
import {type Choice} from '../placing/endpoint-choice.js';
import {type EndpointLoadTracker} from '../placing/endpoint-load-tracker.js';
import {
	type AdmissionDecision, decideAdmission, retryAfterMs, type RefusalReason,
} from './admission-decision.js';
import {
	type CapacityForecast, type CapacityForecastOptions, createCapacityForecast, type ExpectedCapacity,
} from './capacity-forecast.js';
import {createEstimateCorrection} from './estimate-correction.js';
import {createRankRates} from './rank-rates.js';
import {createReservedCapacity} from './reserved-capacity.js';
import {createIdleEndpoints} from './idle-endpoints.js';
import {createServiceTurnover} from './service-turnover.js';
import {createWaitingQueue, type WaitingRequest} from './waiting-queue.js';

/** Options of {@link createAdmission}. */
export type AdmissionOptions = Omit<CapacityForecastOptions, 'turnover' | 'view' | 'loadTracker'> & {
	view: Pick<FleetView, 'current' | 'endpointsOf' | 'memoryTokens' | 'onEndpoint'>;
	loadTracker: EndpointLoadTracker;
	log: Log;
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
	/** `begun` is called when the response begins, and `ended` at the end of the attempt. */
	= | {kind: 'send'; choice: Choice; begun: () => void; ended: () => void}
		/** The request is decided on again once `turn` has resolved. */
		| {kind: 'wait'; turn: Promise<void>}
		| {kind: 'refuse'; reason: RefusalReason; expectedMs: number; retryAfterMs: number};

/** The admission of one request. */
export type AdmissionTicket = {
	/**
	 * Decides on the request now. A choice is to be sent at once, since the next decision rests on it. `place` is the
	 * result of {@link placeFor} at this moment, if the request is certain to be sent there.
	 */
	decide: (choiceRequest: ChoiceRequest, mayWait: boolean, place?: Choice) => Admitted;
	/** The endpoint that a request which may not wait would be sent to now; `undefined` if it would be refused. */
	placeFor: (choiceRequest: ChoiceRequest) => Choice | undefined;
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
	/** Peers have reported their load. */
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
	/** `performance.now()` until which the response is wanted. */
	targetAt: number;
	/** `performance.now()` from which the response is expected after that. */
	passesTargetAt: number;
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
	/** Rank up to which the requests of a lane can't be sent now; less urgent ones may have a minimum share. */
	blocked: Map<string, number>;
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

/** Lower bound of the rate at which waiting requests of a rank are expected to be sent. */
const minRatePerMs = 1 / 1000;

/** Factor on the mean time that requests are in flight, within which most of them end. */
const durationReserveRatio = 1.5;

/** Time between two reviews of waiting requests that no longer can be served in their time. */
const reviewMs = 100;

/** Creates the admission of one daemon. */
export function createAdmission(options: AdmissionOptions): Admission {
	const {view, loadTracker, choose, random} = options;
	const idleEndpoints = createIdleEndpoints({view, loadTracker});
	const turnover = createServiceTurnover();
	const forecast: CapacityForecast = createCapacityForecast({...options, turnover});
	const queue = createWaitingQueue<Entry>({maxCount: maxWaiting, maxBytes: maxWaitingBytes});
	const rates = createRankRates();
	const correction = createEstimateCorrection();
	const reserved = createReservedCapacity({...options, correction});
	const rounds = new Map<string, Round>();
	const reviewedAt = new Map<string, number>();
	let timer: NodeJS.Timeout | undefined;
	let timerAt = Number.POSITIVE_INFINITY;

	const lanesOf = (service: string): string[] => [...new Set([...queue.all()].filter(entry => entry.service === service).map(({lane}) => lane))];

	const firstOf = (service: string, lane: string, blockedRank: number | undefined): Entry | undefined => {
		if (blockedRank === undefined) {
			return queue.first(lane);
		}

		// What is too full for a more urgent request may take a less urgent one only as the minimum share of that rank.
		let first = queue.first(lane, blockedRank);
		while (first !== undefined && !(reserved.isShort(service) && reserved.isBelowShare(service, first.rank))) {
			first = queue.first(lane, first.rank);
		}

		return first;
	};

	/** The request that is sent next; requests that only some endpoints may get go first among those of their rank. */
	const nextOf = (service: string, blocked: ReadonlyMap<string, number>): Entry | undefined => {
		let next: Entry | undefined;
		for (const lane of lanesOf(service)) {
			const first = firstOf(service, lane, blocked.get(lane));
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

		try {
			round.current = nextOf(service, round.blocked);
		} catch (error) {
			// A round that stays would keep later events from starting one.
			rounds.delete(service);
			throw error;
		}

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

		rounds.set(service, {current: undefined, blocked: new Map(), isRepeated: false});
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
			round.blocked.set(entry.lane, entry.rank);
		}

		queueMicrotask(() => {
			continueRound(entry.service);
		});
	};

	const endWait = (entry: Entry, wasSent: boolean): void => {
		queue.remove(entry, wasSent);
		if (entry.waitingSince !== undefined) {
			if (wasSent) {
				rates.sent(entry.lane, entry.rank);
			}

			rates.backlogged(entry.lane, entry.rank, queue.hasWaiting(entry.lane, entry.rank));
			entry.waitedMs += performance.now() - entry.waitingSince;
			entry.waitingSince = undefined;
		}
	};

	const onTimer = (): void => {
		timer = undefined;
		timerAt = Number.POSITIVE_INFINITY;
		const now = performance.now();
		const services = new Set<string>();
		try {
			for (const entry of queue.all()) {
				if (entry.checkAt > now) {
					continue;
				}

				services.add(entry.service);
				const endsAt = entry.deadlineAt - entry.serviceMs;
				entry.checkAt = Math.max(endsAt, now + minCheckMs);
				if (endsAt <= now || (!entry.isPastTarget && entry.passesTargetAt <= now)) {
					entry.wake();
				}
			}

			for (const service of services) {
				startRound(service);
			}
		} finally {
			setTimer();
		}
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
	const queueMsOf = (entry: Entry, {perMs}: ExpectedCapacity): number => {
		const measuredPerMs = reserved.isOvertaken(entry.service, entry.rank) ? rates.perMs(entry.lane, entry.rank) : undefined;
		if (measuredPerMs !== undefined) {
			// More urgent requests are in the measured rate, also those that are yet to come.
			return queue.countBeforeInRank(entry) / Math.max(measuredPerMs, minRatePerMs);
		}

		return perMs === 0 ? 0 : queue.countBefore(entry) / perMs;
	};

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

	/** The choice if requests of this rank may fill its endpoint further, or else one among the endpoints that they may fill. */
	const chooseUnreserved = (entry: Entry, request: ChoiceRequest, choice: Choice): Choice | undefined => {
		if (reserved.mayFill(choice.endpoint, entry.rank)) {
			return choice;
		}

		const filled = reserved.filledUnlessAll(entry.service, entry.rank);
		return filled && choose({...request, excluded: new Set([...request.excluded, ...filled])});
	};

	const isPreceded = (entry: Entry): boolean =>
		queue.size() > 0 && (queue.countBefore(entry) > 0 || (entry.lane !== entry.service && queue.countMoreUrgent(entry.service, entry.rank) > 0));

	const send = (entry: Entry, choice: Choice): Admitted => {
		endWait(entry, true);
		settleTurn(entry, false);
		const sentAt = performance.now();
		const ended = turnover.started(entry.service, entry.rank);
		const leaveRank = reserved.started(entry.service, entry.rank);
		return {
			kind: 'send',
			choice,
			begun() {
				correction.record(entry.service, choice.expectedMs, performance.now() - sentAt);
				startRound(entry.service);
			},
			ended() {
				ended();
				leaveRank();
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
			rates.backlogged(entry.lane, entry.rank, true);
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
		const meanMs = turnover.meanMs(entry.service, entry.rank);
		if (!entry.isPastTarget && now + meanMs >= entry.targetAt) {
			if (queue.has(entry)) {
				queue.passTarget(entry);
			} else {
				entry.isPastTarget = true;
			}
		}

		const expected = mayWait ? forecast(request) : undefined;
		const serviceMs = Math.max(expected?.serviceMs ?? 0, meanMs * durationReserveRatio);
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
		entry.passesTargetAt = entry.targetAt - meanMs;
		const endsAt = entry.isPastTarget ? entry.deadlineAt - serviceMs : Math.min(entry.targetAt - meanMs, entry.deadlineAt - serviceMs);
		return wait(entry, Math.max(now + minCheckMs, Math.min(endsAt, now + expected!.timedMs)));
	};

	/** Whether the response is expected too late, which no wait changes: the time left passes as fast as the endpoint's queue. */
	const refusalOf = ({service, deadlineAt}: Entry, choice: Choice): {expectedMs: number} | undefined => {
		const expectedMs = choice.expectedMs * correction.ratio(service);
		const decision = decideAdmission({
			remainingMs: deadlineAt - performance.now(), expectedMs, isIdle: idleEndpoints.isIdle(choice.endpoint), capacityMs: undefined, queueMs: 0, serviceMs: 0, hasQueueRoom: false,
		});
		return decision.kind === 'send' ? undefined : {expectedMs};
	};

	const placeFor = (entry: Entry, request: ChoiceRequest): Choice | undefined => {
		const choice = choose(request);
		return choice === undefined || refusalOf(entry, choice) === undefined ? choice : chooseIdle(request);
	};

	const decide = (entry: Entry, request: ChoiceRequest, mayBeHeld: boolean): Admitted => {
		entry.choiceRequest = request;
		// The gatekeepers of brittle endpoints decline what exceeds their room; callers that wait would add to each burst.
		const mayWait = mayBeHeld && !options.brittle.isBrittle(entry.service);
		const isItsTurn = rounds.get(entry.service)?.current === entry;
		if (mayWait && !isItsTurn && isPreceded(entry)) {
			return decideWithout(entry, request, mayWait);
		}

		const choice = choose(request);
		if (choice === undefined) {
			return decideWithout(entry, request, mayWait);
		}

		const refusal = refusalOf(entry, choice);
		if (refusal !== undefined) {
			const idle = chooseIdle(request);
			return idle === undefined ? refuse(entry, 'late', refusal.expectedMs) : send(entry, idle);
		}

		const unreserved = mayWait ? chooseUnreserved(entry, request, choice) : choice;
		// Where the endpoints that are left would respond too late, room at a quicker one is worth waiting for.
		return unreserved === undefined || refusalOf(entry, unreserved) !== undefined ? decideWithout(entry, request, mayWait) : send(entry, unreserved);
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
				targetAt: deadlineAt - timeoutMs + targetMs,
				passesTargetAt: Number.POSITIVE_INFINITY,
				isPastTarget: false,
				waitingSince: undefined,
				waitedMs: 0,
				checkAt: Number.POSITIVE_INFINITY,
				serviceMs: 0,
				isDisplaced: false,
				wake: () => undefined,
			};
			return {
				placeFor: request => placeFor(entry, request),
				decide(request, mayWait, place) {
					if (!queue.has(entry)) {
						// A request that only some endpoints may get must not hold up the others.
						const isLimited = request.excluded.size > 0 || request.software !== undefined;
						entry.lane = isLimited ? `${service} ${request.software ?? ''} ${[...request.excluded].join(' ')}` : service;
					}

					return place === undefined ? decide(entry, request, mayWait) : send(entry, place);
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
