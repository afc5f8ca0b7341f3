/** Clients, probes and selection of endpoints. */
export * from './lib/endpoints/endpoint-errors.js';
export * from './lib/endpoints/engine-client.js';
export * from './lib/endpoints/endpoint-picker.js';
export * from './lib/endpoints/endpoint-watch.js';
export * from './lib/endpoints/engine-probe.js';
export * from './lib/endpoints/version-choice.js';
