/** How the router speaks to endpoints. */
export * from './lib/endpoints/endpoint-errors.js';
export * from './lib/endpoints/engine-client.js';
