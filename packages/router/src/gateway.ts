/** The HTTP server for callers, and the interfaces that it needs from other modules. */
export type * from './lib/serving/ports.js';
export type {Caller, KeyRing} from './lib/configuration/key-ring.js';
export * from './lib/gateway/gateway-errors.js';
export * from './lib/gateway/gateway-server.js';
export * from './lib/gateway/model-gateway.js';
export type * from './lib/gateway/model-gateway-parts.js';
export * from './lib/gateway/admission.js';
export * from './lib/gateway/event-reader.js';
export * from './lib/gateway/plain-route.js';
