/** Errors of calls to plain services. */
import {LayerError} from '../errors/layer-error.js';

/** An exchange with an endpoint was aborted or refused. */
export class EndpointExchangeError extends LayerError {
	readonly code = 'endpoint_exchange';
}

/** The order store could not be read or written; nothing was dispatched. */
export class OrderStoreError extends LayerError {
	readonly code: string = 'order_store_unavailable';
}

/** A write to the order store was queued for too long in this process and was never sent. */
export class OrderNotWrittenError extends OrderStoreError {
	override readonly code = 'order_not_written';
}

/** The order to settle is not one whose outcome is unknown. */
export class OrderNotUnknownError extends LayerError {
	readonly code = 'order_not_unknown';
}

/** It is too early to settle an order as never run. */
export class OrderTooRecentError extends LayerError {
	readonly code = 'order_too_recent';

	constructor(message: string, readonly settleableAtMs: number) {
		super(message);
	}
}
