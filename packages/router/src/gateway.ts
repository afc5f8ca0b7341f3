/** The HTTP side toward callers, and what it asks of the other parts. */
export type * from './lib/serving/ports.js';
export type {Caller, KeyRing} from './lib/configuration/key-ring.js';
export * from './lib/gateway/gateway-errors.js';
export * from './lib/gateway/gateway-server.js';
export * from './lib/gateway/model-gateway.js';
export type * from './lib/gateway/model-gateway-parts.js';
export * from './lib/gateway/admission.js';
export * from './lib/gateway/event-reader.js';
export * from './lib/gateway/plain-route.js';
