import process from 'node:process';
import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import fc from 'fast-check';
import {createFleetClock, createFleetView} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {createEngineVersions, createWeightsDeadlines} from '../../weights.js';

const histories = Number(process.env.BEGIN_HISTORIES ?? 300);
const weightsMs = 8000;
const daemonCount = 3;
const engineCount = 3;
/** Time that news and cancellations take at most. */
const maxTransitMs = 200;
/** Time after a suspension within which requests aren't judged. */
const stableMs = 1000;

/** What happens next, and the milliseconds until then. */
type Event = {afterMs: number} & (
	| {kind: 'name'}
	| {kind: 'slowDown'; engine: number; waitMs: number}
	| {kind: 'load'; engine: number}
	/** All daemons stand still, and their clocks with them. */
	| {kind: 'suspend'; ms: number}
	/** A daemon restarts, which ends its requests, and knows nothing but the newest naming. */
	| {kind: 'restart'; daemon: number}
	| {kind: 'send'; daemon: number; engine: number}
);

const afterMs = fc.integer({min: 0, max: 1500});
const engine = fc.nat(engineCount - 1);
const daemon = fc.nat(daemonCount - 1);
const event: fc.Arbitrary<Event> = fc.oneof(
	fc.record({kind: fc.constant('name' as const), afterMs}),
	fc.record({
		kind: fc.constant('slowDown' as const), afterMs, engine, waitMs: fc.integer({min: 0, max: 15_000}),
	}),
	fc.record({kind: fc.constant('load' as const), afterMs, engine}),
	fc.record({kind: fc.constant('suspend' as const), afterMs, ms: fc.integer({min: 0, max: 5000})}),
	fc.record({kind: fc.constant('restart' as const), afterMs, daemon}),
	{
		arbitrary: fc.record({
			kind: fc.constant('send' as const), afterMs, daemon, engine,
		}), weight: 6,
	},
);

/** Plays a history; returns the ages of the weights, in milliseconds, on which requests began. */
async function play(events: readonly Event[], transitMs: number): Promise<number[]> {
	const clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
	try {
		let suspendedMs = 0;
		let suspendedAt = Number.NEGATIVE_INFINITY;
		const storeMs = (): number => 1_000_000 + performance.now() + suspendedMs;
		/** Store times of the namings, by version. */
		const namedAt = new Map<number, number>();
		const engines = Array.from({length: engineCount}, () => ({version: 1, waitMs: 0}));
		const ages: number[] = [];

		const startDaemon = () => {
			const view = createFleetView(createSilentLog(), createFleetClock({clockMs: storeMs, generation: () => 1, observeClock: () => undefined}));
			return {
				view, versions: createEngineVersions(), deadlines: createWeightsDeadlines({view, weightsMs}), waiting: new Set<NodeJS.Timeout>(),
			};
		};

		const daemons = Array.from({length: daemonCount}, startDaemon);

		const begin = (version: number): void => {
			const age = storeMs() - (namedAt.get(version + 1) ?? Number.POSITIVE_INFINITY);
			if (performance.now() - suspendedAt >= stableMs) {
				ages.push(age);
			}
		};

		const send = ({versions, deadlines, waiting}: typeof daemons[number], index: number): void => {
			const target = engines[index];
			const {version: weights} = versions.of({
				id: `e${index}`, service: 's', address: '', dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 1, reportNumber: 1, software: '', weights: new Map([['m', 1]]),
			}, 'm');
			if (!deadlines.maySend({model: 'm', weights}, 100) || target.version !== weights) {
				return;
			}

			const timer = setTimeout(() => {
				endWatch();
				if (target.version === weights) {
					begin(weights);
				}
			}, target.waitMs);
			waiting.add(timer);
			const endWatch = deadlines.watch({
				model: 'm',
				weights,
				onOutdated() {
					setTimeout(clearTimeout, transitMs, timer);
				},
			});
		};

		const handlers: {[Kind in Event['kind']]: (event: Extract<Event, {kind: Kind}>) => void} = {
			name() {
				const version = namedAt.size + 2;
				const at = storeMs();
				namedAt.set(version, at);
				for (const {view} of daemons) {
					setTimeout(() => {
						view.acceptWeights('m', version, 0, storeMs() - at);
					}, transitMs);
				}
			},
			slowDown({engine: index, waitMs}) {
				engines[index].waitMs = waitMs;
			},
			load({engine: index}) {
				engines[index].version = namedAt.size + 1;
				const {version} = engines[index];
				setTimeout(() => {
					for (const {versions} of daemons) {
						versions.seen(`e${index}`, version);
					}
				}, transitMs);
			},
			suspend({ms}) {
				suspendedMs += ms;
				suspendedAt = performance.now();
			},
			restart({daemon: index}) {
				for (const timer of daemons[index].waiting) {
					clearTimeout(timer);
				}

				daemons[index] = startDaemon();
				if (namedAt.size > 0) {
					daemons[index].view.acceptWeights('m', namedAt.size + 1, Number.POSITIVE_INFINITY);
				}
			},
			send({daemon: index, engine: target}) {
				send(daemons[index], target);
			},
		};

		for (const item of events) {
			await clock.tickAsync(item.afterMs);
			(handlers[item.kind] as (event: Event) => void)(item);
		}

		await clock.tickAsync(20_000);
		return ages;
	} finally {
		clock.uninstall();
	}
}

describe('requests on replaced weights, in generated histories', () => {
	it('never begin later than the bound, whatever is named, waits, loads, stands still or restarts', async function () {
		// Guards against orders of events that no single test has.
		this.timeout(60_000 + (histories * 200));
		let judged = 0;
		await fc.assert(fc.asyncProperty(fc.array(event, {minLength: 5, maxLength: 60}), fc.integer({min: 1, max: maxTransitMs}), async (events, transitMs) => {
			const ages = await play(events, transitMs);
			judged += ages.length;
			assert.isAtMost(Math.max(0, ...ages), weightsMs);
		}), {numRuns: histories, seed: 49});
		assert.isAbove(judged, histories);
	});
});
