/** Chooses an endpoint for each request from the known load, cache contents and health. */
export type * from './lib/placing/choice-request.js';
export * from './lib/placing/brittle-endpoints.js';
export * from './lib/placing/capacity-wait.js';
export * from './lib/placing/connection-shares.js';
export * from './lib/placing/endpoint-backoff.js';
export * from './lib/placing/endpoint-load-tracker.js';
export * from './lib/placing/endpoint-choice.js';
export * from './lib/placing/endpoint-limits.js';
export * from './lib/placing/stored-parts.js';
export * from './lib/placing/resident-parts.js';
