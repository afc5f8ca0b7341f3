/** Interface to engines: state, and orders to change weights. */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';

/** State reported by an engine. */
export type EngineState = {
	/** Running versions, by model. */
	weights: ReadonlyMap<string, number>;
	/** Number of queued requests; the value lags behind. */
	waiting: number;
	/** Number of requests that are being run; the value lags behind. */
	running: number;
	/** An order is being carried out. */
	isChanging: boolean;
	/** Number of orders accepted since the engine's start. */
	ordersTaken: number;
};

/**
 * Outcome of an order.
 *
 * - `accepted`: it is being carried out.
 * - `done`: the engine runs this version already.
 * - `busy`: another order is running or came first.
 * - `outranked`: a later lease holder has given orders.
 * - `misdirected`: another process has the address.
 * - `refused`: the engine doesn't support the order.
 */
export type OrderResult = 'accepted' | 'done' | 'busy' | 'outranked' | 'misdirected' | 'refused';

/**
 * What becomes of the requests that an engine runs when it is ordered to load weights: they `finish` before the
 * load, or `continue` after it on the new weights.
 */
export type RunPolicy = 'finish' | 'continue';

/** An order to change weights. */
export type WeightsOrder = {
	model: string;
	version: number;
	/** Name of the ordering daemon. */
	holder: string;
	/** Fencing token; grows with each change of holder. */
	fencing: number;
	/** `ordersTaken` of the state that was read; the engine rejects the order if it has accepted another one since. */
	ordersTaken: number;
	runs: RunPolicy;
};

/** Calls engines; both methods throw when there is no answer. */
export type WeightsControl = {
	state: (endpoint: LiveEndpoint) => Promise<EngineState>;
	order: (endpoint: LiveEndpoint, order: WeightsOrder) => Promise<OrderResult>;
};
