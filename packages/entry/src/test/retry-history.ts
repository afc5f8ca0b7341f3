/** Plays histories of daemons that repeat requests as often as their budgets allow. */
import type FakeTimers from '@sinonjs/fake-timers';
import {createSilentLog} from 'hickorywalk/observability.js';
import {type RetryGrant, type RetryPartHolder, type RetryWindow} from 'hickorywalk/retries.js';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {wireRetries, wireRetryPart} from '../lib/wiring/retry-wiring.js';
import {createSharedTable, type TableAccess} from './shared-table.js';

/** What happens to a daemon, or to all; `count` are requests, or seconds that a state lasts. */
export type RetryEvent = {
	at: number;
	kind: 'requests' | 'requestsToAll' | 'kill' | 'killAll' | 'stop' | 'add' | 'cut' | 'cutWrites' | 'tableDown' | 'restore';
	daemon: number;
	count: number;
};

/** Share, window in milliseconds, and fixed number of repeats. */
export type RetryBound = {share: number; windowMs: number; extra: number};

/** Options of {@link playRetries}. */
export type PlayOptions = {
	clock: FakeTimers.Clock;
	bound: RetryBound;
	daemons: number;
	steps: number;
	events: readonly RetryEvent[];
	seed: number;
	/** Longest time in milliseconds for which a granted repeat waits before it is sent. */
	maxWaitMs: number;
};

/** Requests and repeats of each step, and at the end the part of each daemon that has run for the last 30 s. */
export type Played = {requests: number[]; repeats: number[]; parts: number[]};

export const stepMs = 100;

/** Time after which a daemon's part is as large as it gets while nothing fails, in steps. */
const settledSteps = 300;

const stepsPerSecond = 10;

/** Time in which a daemon returns its part or gives up. */
const leaveTimeoutMs = 60_000;

type Daemon = {name: string; access: TableAccess; part: RetryPartHolder; window: RetryWindow; waiting: Array<{grant: RetryGrant; step: number}>};

/** Plays a history on a paused clock. */
export async function playRetries(options: PlayOptions): Promise<Played> {
	const generator = xoroshiro128plus(options.seed);
	const random = (): number => uniformFloat64(generator);
	const systemRandom = Math.random;
	// The daemons' own jitter, too, follows from the seed.
	Math.random = random;
	try {
		return await play(options, random);
	} finally {
		Math.random = systemRandom;
	}
}

async function play({
	clock, bound, daemons: count, steps, events, maxWaitMs,
}: PlayOptions, random: () => number): Promise<Played> {
	const table = createSharedTable(random);
	const requests = Array.from({length: steps}, () => 0);
	const repeats = Array.from({length: steps}, () => 0);
	const copies: Array<ReturnType<typeof table.copy>> = [];
	let daemons: Daemon[] = [];
	let step = 0;
	let starts = 0;
	let downUntil = 0;
	let disturbedStep = 0;
	const reopened = new Map<TableAccess, number>();

	const start = (name: string, isFirstStart: boolean): Daemon => {
		starts++;
		const access = table.access();
		const parts = {
			settings: {name, isFirstStart, retries: bound},
			incarnation: starts,
			ownTable: access.table,
			store: {clockMs: access.tableMs},
			clock: {now: () => performance.now()},
			metrics: {retryDecided: () => undefined},
			logLineBudget: {take: () => false},
			log: createSilentLog(),
		};
		const part = wireRetryPart(parts as unknown as Parameters<typeof wireRetryPart>[0]);
		const window = wireRetries({...parts, retryPart: part} as unknown as Parameters<typeof wireRetries>[0]).budgetOf('engines');
		part.start();
		return {
			name, access, part, window, waiting: [],
		};
	};

	const kill = (index: number): void => {
		const daemon = daemons[index];
		// Nothing of a killed process has an effect any more, but for a write that is on its way.
		daemon.access.cut(random() < 0.5 ? 'cut' : 'isApplied');
		reopened.delete(daemon.access);
		daemons[index] = start(daemon.name, false);
	};

	const receive = ({window}: Daemon, received: number): void => {
		for (let index = 0; index < received; index++) {
			window.recordRequest(0);
		}

		requests[step] += received;
	};

	const handlers: Record<RetryEvent['kind'], (event: RetryEvent) => void> = {
		requests({daemon, count: received}) {
			receive(daemons[daemon % daemons.length], received);
		},
		requestsToAll({count: received}) {
			for (const daemon of daemons) {
				receive(daemon, received);
			}
		},
		kill({daemon}) {
			kill(daemon % daemons.length);
		},
		killAll() {
			for (const index of daemons.keys()) {
				kill(index);
			}
		},
		stop({daemon}) {
			if (daemons.length > 1) {
				const [stopped] = daemons.splice(daemon % daemons.length, 1);
				void stopped.part.leave();
			}
		},
		add() {
			daemons.push(start(`added-${starts}`, false));
		},
		cut({daemon, count: seconds}) {
			const {access} = daemons[daemon % daemons.length];
			access.cut('cut');
			reopened.set(access, step + (seconds * stepsPerSecond));
		},
		cutWrites({daemon, count: seconds}) {
			const {access} = daemons[daemon % daemons.length];
			access.cut('isApplied');
			reopened.set(access, step + (seconds * stepsPerSecond));
		},
		tableDown({count: seconds}) {
			table.setDown(true);
			downUntil = step + (seconds * stepsPerSecond);
		},
		restore({count: seconds}) {
			table.restore(copies[Math.max(0, step - (seconds * stepsPerSecond))]);
		},
	};

	const endFaults = (): void => {
		if (step === downUntil) {
			table.setDown(false);
		}

		for (const [access, until] of reopened) {
			if (step === until) {
				access.cut('open');
			}
		}
	};

	const runEvents = (): void => {
		for (const event of events.filter(({at}) => at === step)) {
			disturbedStep = event.kind.startsWith('requests') ? disturbedStep : step;
			handlers[event.kind](event);
		}
	};

	const repeatAll = (daemon: Daemon): void => {
		for (let grant = daemon.window.reserve(); grant !== undefined; grant = daemon.window.reserve()) {
			daemon.waiting.push({grant, step: step + Math.floor(random() * maxWaitMs / stepMs)});
		}

		const due = daemon.waiting.filter(waiting => waiting.step <= step);
		daemon.waiting = daemon.waiting.filter(waiting => waiting.step > step);
		repeats[step] += due.filter(({grant}) => grant.use()).length;
	};

	daemons = Array.from({length: count}, (_item, index) => start(`vm-${index}`, true));
	for (; step < steps; step++) {
		await clock.tickAsync(stepMs);
		copies.push(table.copy());
		endFaults();
		runEvents();
		for (const daemon of daemons) {
			repeatAll(daemon);
		}
	}

	const parts = daemons.map(({part}) => part.units());
	await Promise.all(daemons.map(async ({part}) => {
		const left = part.leave();
		await clock.tickAsync(leaveTimeoutMs);
		await left;
	}));
	return {requests, repeats, parts: step - disturbedStep > settledSteps ? parts : []};
}

/** The largest number of repeats beyond what the bound allows in any window, below 0 if all windows are within it. */
export function worstExcess({requests, repeats}: Pick<Played, 'requests' | 'repeats'>, {share, windowMs, extra}: RetryBound): number {
	const windowSteps = windowMs / stepMs;
	const sum = (values: number[], from: number): number =>
		values.slice(Math.max(0, from), Math.max(0, from + windowSteps)).reduce((total, value) => total + value, 0);
	let worst = Number.NEGATIVE_INFINITY;
	for (let from = 0; from + windowSteps <= repeats.length; from++) {
		const counted = Math.max(sum(requests, from), sum(requests, from - windowSteps), sum(requests, from - (windowSteps / 2)));
		worst = Math.max(worst, sum(repeats, from) - (share * counted) - extra);
	}

	return worst;
}
