/** Plays a history on the decision code of several VMs, and judges what came of it. */
import {Buffer} from 'node:buffer';
import {type Endpoint, type PlainService} from 'hickorywalk/configuration.js';
import {
	createServiceCalls, OrderNotUnknownError, OrderStoreError, OrderTooRecentError, type ServiceCalls,
} from 'hickorywalk/orders.js';
import {type TableClient} from 'hickorywalk/platform.js';
import {z} from 'zod';
import {createMemoryPlatform} from '../../platform/memory-platform.js';
import {createExecutionLedger, type ExecutionLedger} from '../execution-ledger.js';
import {createFaultyTable} from './faulty-table.js';
import {createFaultyTransport, statusPrefix} from './faulty-transport.js';
import {createHistoryCaller, type HistoryCaller} from './history-caller.js';
import {
	type History, type HistoryCall, historyVms, type Verdict,
} from './history.js';

/** The paused clock that a history runs on. */
export type HistoryClock = {
	/** Advances the clock by this many milliseconds, timers and promises included. */
	advance: (ms: number) => Promise<unknown>;
};

const silentService: PlainService = {kind: 'plain', name: 'orderdesk', routes: [{method: 'PUT', path: '/orders', idempotent: true}]};
const tellingService: PlainService = {...silentService, statusPath: `${statusPrefix}{id}`};
const endpoints = ['od-1', 'od-2'].map((name): Endpoint => ({
	name, service: 'orderdesk', vm: name, dataCentre: 'hobart-a', address: 'http://127.0.0.1:1', checksFencing: false,
}));
const limits = {
	connectMs: 1_000_000,
	firstByteMs: 20_000,
	dispatchWithinMs: 5000,
	longestCallMs: 30_000,
	clockMarginMs: 1000,
	settleAfterMs: 60_000,
	persistMs: 60_000,
};
const deadlineMs = 40_000;
const horizonMs = 700_000;

const recordSchema = z.object({state: z.string(), requestId: z.string()});

type Played = HistoryCall & {requestId: string; orderKey: string; caller: HistoryCaller};

type World = {
	table: TableClient;
	service: PlainService;
	ledger: ExecutionLedger;
	lost: Set<number>;
	played: Played[];
	calls: ServiceCalls[];
	/** The operator's VM, which nothing befalls. */
	operator: ServiceCalls;
	use: {writes: number; transactions: number};
};

async function never(): Promise<never> {
	return new Promise(() => {
		// A lost VM hears nothing more.
	});
}

/** Makes the table of a lost VM fall silent for it. */
function silentWhenLost(table: TableClient, isLost: () => boolean): TableClient {
	const guard = async <Result>(work: Promise<Result>): Promise<Result> => {
		const result = await work;
		return isLost() ? never() : result;
	};

	return {
		get: async key => isLost() ? never() : guard(table.get(key)),
		list: async range => isLost() ? never() : guard(table.list(range)),
		transact: async writes => isLost() ? never() : guard(table.transact(writes)),
	};
}

function createWorld(history: History): World {
	const {table} = createMemoryPlatform();
	const ledger = createExecutionLedger();
	const lost = new Set<number>();
	const use = {writes: 0, transactions: 0};
	const tableScript = [...history.table];
	const exchangeScript = [...history.exchanges];
	let tokens = 0;
	const newToken = () => `token-${tokens++}`;
	const service = history.tellsStatus ? tellingService : silentService;
	const directory = () => ({service, endpoints});
	const retryBudget = {
		take: () => true,
		deposit() {
			// Nothing to earn.
		},
	};
	const calls = Array.from({length: historyVms}, (_, vm) => {
		const isLost = () => lost.has(vm);
		return createServiceCalls({
			table: silentWhenLost(createFaultyTable(table, tableScript), isLost),
			transport: createFaultyTransport(ledger, exchangeScript, isLost),
			retryBudget,
			directory,
			newToken,
			limits,
			onTransaction(writes) {
				use.writes += writes;
				use.transactions++;
			},
		});
	});
	return {
		table,
		service,
		ledger,
		lost,
		played: [],
		calls,
		operator: createServiceCalls({
			table, transport: createFaultyTransport(ledger, [], () => false), retryBudget, directory, newToken, limits,
		}),
		use,
	};
}

function startCall(world: World, call: HistoryCall, index: number): void {
	if (world.lost.has(call.vm)) {
		return;
	}

	const requestId = `r-${index}`;
	const orderKey = call.keyed && !call.idempotent ? `keyed-${call.order}` : requestId;
	const caller = createHistoryCaller();
	const body = Buffer.from(orderKey);
	const key = call.keyed ? ['idempotency-key', orderKey] : [];
	world.played.push({
		...call, requestId, orderKey, caller,
	});
	void world.calls[call.vm].handle({
		method: call.idempotent ? 'PUT' : 'POST',
		httpVersion: '1.1',
		rawHeaders: ['host', 'a', 'x-order', orderKey, 'content-length', String(body.byteLength), ...key],
		chunks: () => (async function * () {
			yield body;
		})(),
	}, caller.sink, {
		workspace: 'school-1',
		service: world.service,
		requestId,
		presentedKey: 'hw-secret',
		path: '/orders',
		pick: excluded => endpoints.find(endpoint => !excluded.has(endpoint.name)),
		deadline: performance.now() + deadlineMs,
	});
}

function loseVm(world: World, vm: number): void {
	world.lost.add(vm);
	for (const call of world.played) {
		if (call.vm === vm) {
			call.caller.lose();
		}
	}
}

/** An operator who finds no trace of an order at the service, and rules so if the rules let it. */
async function settleUntraced(world: World): Promise<void> {
	for (const order of await world.operator.listUnknownOrders()) {
		if (world.ledger.executions.has(order.requestId)) {
			continue;
		}

		try {
			await world.operator.settleUnknownOrder(order.id, 'not_run', 'operator');
		} catch (error) {
			if (!(error instanceof OrderTooRecentError || error instanceof OrderNotUnknownError || error instanceof OrderStoreError)) {
				throw error;
			}
		}
	}
}

/** Plays a history to its end. */
export async function runHistory(history: History, clock: HistoryClock): Promise<Verdict> {
	const world = createWorld(history);
	for (const [index, call] of history.calls.entries()) {
		setTimeout(() => {
			startCall(world, call, index);
		}, call.atMs);
	}

	for (const {atMs, vm} of history.losses) {
		setTimeout(() => {
			loseVm(world, vm);
		}, atMs);
	}

	setTimeout(() => {
		void settleUntraced(world);
	}, history.operatorAtMs);
	await clock.advance(horizonMs);
	const listing = listKnown(world);
	await clock.advance(1000);
	return judge(world, await listing);
}

function isTold(call: Played, outcomes: ReadonlySet<string>): boolean {
	const view = call.caller.view();
	return view.whole && outcomes.has(view.outcome);
}

/** Request ids of the orders that an operator finds listed as unknown, or recorded as having run. */
async function listKnown(world: World): Promise<ReadonlySet<string>> {
	const unknown = await world.operator.listUnknownOrders();
	const known = new Set(unknown.map(order => order.requestId));
	for (const row of await world.table.list({prefix: 'orders/'})) {
		const order = recordSchema.parse(JSON.parse(row.value));
		if (order.state === 'answered') {
			known.add(order.requestId);
		}
	}

	return known;
}

function isLostOrder(world: World, call: Played, known: ReadonlySet<string>): boolean {
	if (call.idempotent || !world.ledger.executions.has(call.requestId) || known.has(call.requestId)) {
		return false;
	}

	const sameOrder = world.played.filter(other => other.orderKey === call.orderKey);
	if (sameOrder.some(other => isTold(other, definite))) {
		return false;
	}

	// Without a key nothing is written before the call leaves: the caller of a
	// lost VM sees its connection end, which is all that anyone knows.
	return call.keyed || !world.lost.has(call.vm);
}

const answered = new Set(['answered']);
const ran = new Set(['ran']);
const definite = new Set(['answered', 'ran']);
const notKnown = new Set(['unknown', 'ran', 'in_progress', 'no_answer']);
const refused = new Set(['not_run']);

function count(world: World, test: (call: Played) => boolean): number {
	return world.played.filter(call => test(call)).length;
}

/** Told another order's answer, a part as the whole, or that it ran when it had not. */
function isToldWrong(world: World, call: Played): boolean {
	return (isTold(call, answered) && call.caller.view().body !== `receipt for ${call.orderKey}`)
		|| (isTold(call, ran) && !world.ledger.orders.has(call.orderKey));
}

function judge(world: World, known: ReadonlySet<string>): Verdict {
	let doubled = 0;
	const idempotent = new Set(world.played.filter(call => call.idempotent).map(call => call.orderKey));
	for (const [order, times] of world.ledger.orders) {
		doubled += idempotent.has(order) ? 0 : times - 1;
	}

	return {
		tried: world.played.length,
		answered: count(world, call => isTold(call, answered)),
		unknown: count(world, call => isTold(call, notKnown) || call.caller.view().cut),
		refused: count(world, call => isTold(call, refused)),
		doubled,
		lost: count(world, call => isLostOrder(world, call, known)),
		untrue_not_run: count(world, call => isTold(call, refused) && world.ledger.executions.has(call.requestId)),
		foreign: count(world, call => isToldWrong(world, call)),
		...world.use,
	};
}
