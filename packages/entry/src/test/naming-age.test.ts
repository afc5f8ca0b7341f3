import {setTimeout as sleep} from 'node:timers/promises';
import {asValue} from 'awilix';
import {assert} from 'chai';
import {type createStoreClient} from '@hickorywalk/platform';
import {createEntryParts} from '../lib/entry-parts.js';
import {type EntryParts} from '../lib/wiring/parts.js';
import {settingsWith} from './daemon-settings.js';

type StoreClient = ReturnType<typeof createStoreClient>;
type Answer = Awaited<ReturnType<StoreClient['feed']>>;

const model = 'm1';
const text = JSON.stringify({model, version: 2});
/** Key of the operator's row that names the weights. */
const key = `version/${model}`;

describe('the age of weights', () => {
	let parts: EntryParts;
	/** The store's clock at the start of the test in milliseconds, as the daemon knows it. */
	let storeMs: number;
	/** Answers the poll that waits. */
	let answerPoll: ((answer: Answer) => void) | undefined;

	beforeEach(async () => {
		storeMs = 100_000;
		answerPoll = undefined;
		const startedAt = performance.now();
		const store = {
			listTable: async () => ({changes: [], version: 1, storeMs}),
			feed: async () => new Promise<Answer>(resolve => {
				answerPoll = resolve;
			}),
			clockMs: () => storeMs + performance.now() - startedAt,
			observeClock(observedMs: number) {
				storeMs = Math.max(storeMs, observedMs);
			},
			generation: () => 1,
		} satisfies Partial<StoreClient>;
		const container = createEntryParts(settingsWith(1));
		container.register({store: asValue(store as unknown as StoreClient)});
		parts = container.cradle;
		parts.operatorFeed.ageMs();
		while (!isPolled()) {
			await sleep(1);
		}
	});

	afterEach(() => {
		parts.operatorFeed.close();
	});

	/** The store answers the poll that waits, as of `answeredAt` on its clock. */
	const name = async (answeredAt: number): Promise<void> => {
		storeMs = Math.max(storeMs, answeredAt);
		answerPoll!({changes: [{key, version: 5, item: text}], version: 5, storeMs: answeredAt});
		while (parts.view.namedWeights(model) === undefined) {
			await sleep(1);
		}
	};

	/** A peer relays an answer that the store gave at `answeredAt`. */
	const relay = (answeredAt: number, hasNaming: boolean): void => {
		parts.operatorFeed.relayed('vm-2', {
			since: 1, version: 5, rows: hasNaming ? [[key, 5, text]] : [], isPrompt: true, storeMs: answeredAt, outage: null, restoredMs: null,
		});
	};

	const isPolled = (): boolean => answerPoll !== undefined;

	const ageMs = (): number => parts.view.namedWeights(model)!.outdatedMs(1);

	it('includes the time for which the store\'s answer lay unread', async () => {
		// Guards against a busy or suspended daemon that takes a naming for new when it gets around to reading it.
		storeMs = 104_000;
		await name(100_010);
		assert.isAtLeast(ageMs(), 3990);
	});

	it('includes a suspension, which the process\'s own clock doesn\'t count', async () => {
		// Guards against requests that begin on replaced weights after a machine was suspended.
		await name(100_010);
		storeMs = 108_000;
		assert.isAtLeast(ageMs(), 7990);
	});

	it('includes all time in which a suspended daemon may have missed the naming', async () => {
		// Guards against a naming that is taken for new because the daemon polled right after it had been suspended.
		await name(106_000);
		assert.isAtLeast(ageMs(), 5990);
	});

	it('includes the time for which a peer\'s relay lay unread', () => {
		// Guards against a naming that counts from the arrival of a late datagram.
		storeMs = 104_000;
		relay(100_010, true);
		assert.isAtLeast(ageMs(), 3990);
	});

	it('includes a suspension of a daemon that hears from the store through peers only', () => {
		// Guards against a clock that stands still because the daemon has no need to call the store.
		relay(100_010, true);
		relay(108_000, false);
		assert.isAtLeast(ageMs(), 7990);
	});
});
