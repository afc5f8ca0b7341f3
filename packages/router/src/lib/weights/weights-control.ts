/** How engines are asked for their state and told to change weights. */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';

/** What an engine says of itself. */
export type EngineState = {
	/** Versions of the weights that it runs, by model. */
	weights: ReadonlyMap<string, number>;
	/** Requests that it has queued and not begun; the value is some hundred milliseconds old. */
	waiting: number;
	/** An order is being carried out. */
	isChanging: boolean;
	/** Number of orders that it has accepted since its start. */
	ordersTaken: number;
};

/**
 * What became of an order.
 *
 * - `accepted`: it is being carried out.
 * - `done`: the engine has these weights already.
 * - `busy`: another order runs, or came in between.
 * - `outranked`: a later holder has given orders.
 * - `misdirected`: another process has the address.
 * - `refused`: the engine doesn't know the order.
 */
export type OrderResult = 'accepted' | 'done' | 'busy' | 'outranked' | 'misdirected' | 'refused';

/** An order to change weights. */
export type WeightsOrder = {
	model: string;
	version: number;
	/** Name of the daemon that gives the order. */
	holder: string;
	/** Grows with each change of holder. */
	fencing: number;
	/**
	 * Orders that the engine had accepted when the state was read. An order that
	 * is delayed on its way is void once another one came in between.
	 */
	ordersTaken: number;
};

/** Speaks to engines; both methods throw when there is no answer. */
export type WeightsControl = {
	state: (endpoint: LiveEndpoint) => Promise<EngineState>;
	order: (endpoint: LiveEndpoint, order: WeightsOrder) => Promise<OrderResult>;
};
