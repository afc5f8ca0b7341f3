/**
 * Rolls out the weights version that the document names. One daemon owns a
 * service's rollout by lease. Each step is recorded before it is taken, so that
 * a new owner can continue from the record.
 */
import {type Endpoint, type ModelService} from '../configuration/document.js';
import {type HeldLease} from '../leases/lease-holder.js';
import {type TableClient, type WeightClient} from '../platform/platform.js';
import {type EngineControl, type EngineWeights} from './engine-control.js';
import {beginRollout, planRollout, type RolloutView} from './rollout-plan.js';
import {
	readRecord, type RolloutRecord, type StoredRecord, writeRecord,
} from './rollout-record.js';

/** The fields of the lease that a rollout needs. */
type OrderLease = Pick<HeldLease, 'fencing' | 'msLeft'>;

/** Options of {@link createRolloutRunner}. */
export type RolloutRunnerOptions = {
	/** The service in the current document; `undefined` when it was removed. */
	service: () => ModelService | undefined;
	endpoints: () => readonly Endpoint[];
	/** The lease on this rollout, with the time left at the moment of the call. */
	held: () => OrderLease | undefined;
	control: EngineControl;
	table: TableClient;
	weights: WeightClient;
	/** Milliseconds that one endpoint may take to load; 120,000 by default. */
	loadTimeoutMs?: number;
	/**
	 * Milliseconds for which a sent order may still take effect; 5,000 by default.
	 * An owner sends no orders when less time is left on its lease, and a new owner
	 * waits as long before its first order.
	 */
	lingerMs?: number;
	/** Called for each order and each change of phase or target, for logs. */
	onEvent?: (text: string, endpoint?: string) => void;
};

/** Runs one service's rollout. */
export type RolloutRunner = {
	/** Runs one round. Rejects when the table or the weight store does not answer, or another daemon wrote the record; the next round reads it again. */
	tick: () => Promise<void>;
	/** The record as last seen by this daemon. */
	record: () => RolloutRecord | undefined;
};

const defaultLoadTimeoutMs = 120_000;
const defaultLingerMs = 5000;

/**
 * Creates a runner, which acts only while its lease is held.
 *
 * @example
 * const runner = createRolloutRunner({service, endpoints, held: () => leases.held('rollout/wordsmith'), control, table, weights});
 * setInterval(() => void runner.tick(), 1000);
 */
export function createRolloutRunner(options: RolloutRunnerOptions): RolloutRunner {
	const {control, table, onEvent} = options;
	const loadTimeoutMs = options.loadTimeoutMs ?? defaultLoadTimeoutMs;
	const lingerMs = options.lingerMs ?? defaultLingerMs;
	let stored: StoredRecord | undefined;
	let ownedFencing: number | undefined;
	let ownedSince = 0;
	let busy = false;

	/**
	 * Some endpoints obey orders with an old fencing token. The previous owner sent
	 * none in the last `lingerMs` of its lease, so after `lingerMs` all its orders
	 * have arrived or been lost, and the state read afterwards is final.
	 */
	function isHandoverOver(lease: OrderLease): boolean {
		if (lease.fencing !== ownedFencing) {
			ownedFencing = lease.fencing;
			ownedSince = performance.now();
			stored = undefined;
		}

		return performance.now() - ownedSince >= lingerMs;
	}

	async function probeEndpoints(service: ModelService): Promise<RolloutView> {
		const seen = await Promise.all(options.endpoints().map(async endpoint => [endpoint.name, await weightsOf(endpoint)] as const));
		return {
			weights: new Map(seen), minReady: service.minReady, maxLoading: service.maxLoading, nowMs: Date.now(), loadTimeoutMs,
		};
	}

	async function weightsOf(endpoint: Endpoint): Promise<EngineWeights | undefined> {
		try {
			return await control.weights(endpoint.address);
		} catch {
			return undefined;
		}
	}

	async function isInStore({model, version}: ModelService): Promise<boolean> {
		const list = await options.weights.list();
		return list.some(item => item.model === model && item.version === version);
	}

	async function step(service: ModelService): Promise<void> {
		stored ??= await readRecord(table, service.name);
		const view = await probeEndpoints(service);
		let {record} = stored;
		if (record?.target !== service.version) {
			const isNeeded = [...view.weights.values()].some(weights => weights !== undefined && weights.version !== service.version);
			if (!isNeeded || !await isInStore(service)) {
				return;
			}

			record = beginRollout(record, service.version, view);
		}

		const plan = planRollout(record, view);
		if (JSON.stringify(plan.record) !== JSON.stringify(stored.record)) {
			reportPhaseChange(stored.record, plan.record);
			stored = await writeRecord(table, service.name, stored, plan.record);
		}

		await sendOrders(service, plan.orders);
	}

	function reportPhaseChange(before: RolloutRecord | undefined, after: RolloutRecord): void {
		if (before?.phase !== after.phase || before.target !== after.target) {
			onEvent?.(`Rollout to ${after.target}: ${after.phase}${after.reason === '' ? '' : `, ${after.reason}`}.`);
		}
	}

	async function sendOrders(service: ModelService, orders: ReadonlyArray<{endpoint: string; version: string}>): Promise<void> {
		await Promise.all(orders.map(async ({endpoint, version}) => {
			const found = options.endpoints().find(item => item.name === endpoint);
			// Checked again, since writing the record may have taken long.
			const lease = options.held();
			if (found === undefined || lease === undefined || lease.msLeft < lingerMs) {
				return;
			}

			onEvent?.(`Ordering the endpoint to load ${version}.`, endpoint);
			try {
				await control.order(found.address, {fencing: lease.fencing, model: service.model, version});
			} catch {
				// The order may have arrived: the next round observes it, or the load timeout applies.
			}
		}));
	}

	/** Resends recorded orders whose engines are not loading; they were lost with their sender. */
	async function resendLostOrders(service: ModelService): Promise<void> {
		const steps = Object.entries(stored?.record?.steps ?? {});
		const lost = [];
		for (const [endpoint, {version}] of steps) {
			const found = options.endpoints().find(item => item.name === endpoint);
			const weights = found === undefined ? undefined : await weightsOf(found);
			if (weights !== undefined && !weights.loading && weights.version !== version) {
				lost.push({endpoint, version});
			}
		}

		await sendOrders(service, lost);
	}

	return {
		record: () => stored?.record,
		async tick() {
			const lease = options.held();
			const service = options.service();
			if (busy || lease === undefined || service === undefined || !isHandoverOver(lease) || lease.msLeft < lingerMs) {
				return;
			}

			busy = true;
			try {
				await step(service);
				await resendLostOrders(service);
			} catch (error) {
				// Another daemon may have written the row, so it is read again.
				stored = undefined;
				throw error;
			} finally {
				busy = false;
			}
		},
	};
}
