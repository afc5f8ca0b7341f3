/** Runs a history on the order handling of several VMs and checks the results. */
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

/** Fake clock for running a history. */
export type HistoryClock = {
	/** Advances the clock by `ms` milliseconds and runs due timers and pending promises. */
	advance: (ms: number) => Promise<unknown>;
};

const serviceWithoutStatus: PlainService = {kind: 'plain', name: 'orderdesk', routes: [{method: 'PUT', path: '/orders', idempotent: true}]};
const serviceWithStatus: PlainService = {...serviceWithoutStatus, statusPath: `${statusPrefix}{id}`};
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

type StartedCall = HistoryCall & {requestId: string; orderKey: string; caller: HistoryCaller};

type Simulation = {
	table: TableClient;
	service: PlainService;
	ledger: ExecutionLedger;
	lost: Set<number>;
	startedCalls: StartedCall[];
	calls: ServiceCalls[];
	/** The operator's VM, which has no faults and is never lost. */
	operator: ServiceCalls;
	use: {writes: number; transactions: number};
};

async function never(): Promise<never> {
	return new Promise(() => {
		// A lost VM gets no responses.
	});
}

/** Wraps a table client so that its calls never return once the VM is lost. */
function hangWhenLost(table: TableClient, isLost: () => boolean): TableClient {
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

function createSimulation(history: History): Simulation {
	const {table} = createMemoryPlatform();
	const ledger = createExecutionLedger();
	const lost = new Set<number>();
	const use = {writes: 0, transactions: 0};
	const tableScript = [...history.table];
	const exchangeScript = [...history.exchanges];
	let tokens = 0;
	const newToken = () => `token-${tokens++}`;
	const service = history.tellsStatus ? serviceWithStatus : serviceWithoutStatus;
	const directory = () => ({service, endpoints});
	const retryBudget = {
		take: () => true,
		deposit() {
			// The budget is unlimited.
		},
	};
	const calls = Array.from({length: historyVms}, (_, vm) => {
		const isLost = () => lost.has(vm);
		return createServiceCalls({
			table: hangWhenLost(createFaultyTable(table, tableScript), isLost),
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
		startedCalls: [],
		calls,
		operator: createServiceCalls({
			table, transport: createFaultyTransport(ledger, [], () => false), retryBudget, directory, newToken, limits,
		}),
		use,
	};
}

function startCall(simulation: Simulation, call: HistoryCall, index: number): void {
	if (simulation.lost.has(call.vm)) {
		return;
	}

	const requestId = `r-${index}`;
	const orderKey = call.keyed && !call.idempotent ? `keyed-${call.order}` : requestId;
	const caller = createHistoryCaller();
	const body = Buffer.from(orderKey);
	const key = call.keyed ? ['idempotency-key', orderKey] : [];
	simulation.startedCalls.push({
		...call, requestId, orderKey, caller,
	});
	void simulation.calls[call.vm].handle({
		method: call.idempotent ? 'PUT' : 'POST',
		httpVersion: '1.1',
		rawHeaders: ['host', 'a', 'x-order', orderKey, 'content-length', String(body.byteLength), ...key],
		chunks: () => (async function * () {
			yield body;
		})(),
	}, caller.sink, {
		workspace: 'school-1',
		service: simulation.service,
		requestId,
		presentedKey: 'hw-secret',
		path: '/orders',
		pick: excluded => endpoints.find(endpoint => !excluded.has(endpoint.name)),
		deadline: performance.now() + deadlineMs,
	});
}

function loseVm(simulation: Simulation, vm: number): void {
	simulation.lost.add(vm);
	for (const call of simulation.startedCalls) {
		if (call.vm === vm) {
			call.caller.disconnect();
		}
	}
}

/** Settles as not run the unknown orders that did not run at the service, where the rules allow it. */
async function settleOrdersNotRun(simulation: Simulation): Promise<void> {
	for (const order of await simulation.operator.listUnknownOrders()) {
		if (simulation.ledger.executions.has(order.requestId)) {
			continue;
		}

		try {
			await simulation.operator.settleUnknownOrder(order.id, 'not_run', 'operator');
		} catch (error) {
			if (!(error instanceof OrderTooRecentError || error instanceof OrderNotUnknownError || error instanceof OrderStoreError)) {
				throw error;
			}
		}
	}
}

/** Runs a history to its end. */
export async function runHistory(history: History, clock: HistoryClock): Promise<Verdict> {
	const simulation = createSimulation(history);
	for (const [index, call] of history.calls.entries()) {
		setTimeout(() => {
			startCall(simulation, call, index);
		}, call.atMs);
	}

	for (const {atMs, vm} of history.losses) {
		setTimeout(() => {
			loseVm(simulation, vm);
		}, atMs);
	}

	setTimeout(() => {
		void settleOrdersNotRun(simulation);
	}, history.operatorAtMs);
	await clock.advance(horizonMs);
	const listing = listKnownOrders(simulation);
	await clock.advance(1000);
	return summarize(simulation, await listing);
}

function received(call: StartedCall, outcomes: ReadonlySet<string>): boolean {
	const view = call.caller.view();
	return view.whole && outcomes.has(view.outcome);
}

/** Request ids of the orders that are listed as unknown or recorded as run. */
async function listKnownOrders(simulation: Simulation): Promise<ReadonlySet<string>> {
	const unknown = await simulation.operator.listUnknownOrders();
	const known = new Set(unknown.map(order => order.requestId));
	for (const row of await simulation.table.list({prefix: 'orders/'})) {
		const order = recordSchema.parse(JSON.parse(row.value));
		if (order.state === 'answered') {
			known.add(order.requestId);
		}
	}

	return known;
}

function isLostOrder(simulation: Simulation, call: StartedCall, known: ReadonlySet<string>): boolean {
	if (call.idempotent || !simulation.ledger.executions.has(call.requestId) || known.has(call.requestId)) {
		return false;
	}

	const sameOrder = simulation.startedCalls.filter(other => other.orderKey === call.orderKey);
	if (sameOrder.some(other => received(other, definiteOutcomes))) {
		return false;
	}

	// Without a key nothing is recorded before the call is sent, so if its VM is lost
	// there is no record, and the caller only sees its connection end.
	return call.keyed || !simulation.lost.has(call.vm);
}

const answeredOutcomes = new Set(['answered']);
const ranOutcomes = new Set(['ran']);
const definiteOutcomes = new Set(['answered', 'ran']);
const unknownOutcomes = new Set(['unknown', 'ran', 'in_progress', 'no_answer']);
const notRunOutcomes = new Set(['not_run']);

function count(simulation: Simulation, test: (call: StartedCall) => boolean): number {
	return simulation.startedCalls.filter(call => test(call)).length;
}

/** Whether the call got another order's response, a partial response as a complete one, or "ran" although the order did not run. */
function receivedWrongResponse(simulation: Simulation, call: StartedCall): boolean {
	return (received(call, answeredOutcomes) && call.caller.view().body !== `receipt for ${call.orderKey}`)
		|| (received(call, ranOutcomes) && !simulation.ledger.orders.has(call.orderKey));
}

function summarize(simulation: Simulation, known: ReadonlySet<string>): Verdict {
	let doubled = 0;
	const idempotent = new Set(simulation.startedCalls.filter(call => call.idempotent).map(call => call.orderKey));
	for (const [order, times] of simulation.ledger.orders) {
		doubled += idempotent.has(order) ? 0 : times - 1;
	}

	return {
		tried: simulation.startedCalls.length,
		answered: count(simulation, call => received(call, answeredOutcomes)),
		unknown: count(simulation, call => received(call, unknownOutcomes) || call.caller.view().cut),
		refused: count(simulation, call => received(call, notRunOutcomes)),
		doubled,
		lost: count(simulation, call => isLostOrder(simulation, call, known)),
		untrue_not_run: count(simulation, call => received(call, notRunOutcomes) && simulation.ledger.executions.has(call.requestId)),
		foreign: count(simulation, call => receivedWrongResponse(simulation, call)),
		...simulation.use,
	};
}
