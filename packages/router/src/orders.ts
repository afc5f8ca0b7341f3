/** Calls to plain services, sent at most once unless they are idempotent. */
export * from './lib/orders/response-sink.js';
export * from './lib/orders/call-problems.js';
export * from './lib/orders/credential-headers.js';
export type * from './lib/orders/endpoint-transport.js';
export * from './lib/orders/failure-classes.js';
export * from './lib/orders/limited-connector.js';
export * from './lib/orders/orders-errors.js';
export * from './lib/orders/request-checks.js';
export {isUnframed} from './lib/orders/response-checks.js';
export * from './lib/orders/route-idempotency.js';
export * from './lib/orders/service-calls.js';
export * from './lib/orders/service-options.js';
export * from './lib/orders/service-proxy.js';
export * from './lib/orders/undici-transport.js';
export {type RetryBudget} from './lib/orders/run-call.js';
export {
	type ServiceDirectory, type Settlement, type UnknownOrder, type UnknownOrders,
} from './lib/orders/unknown-orders.js';
