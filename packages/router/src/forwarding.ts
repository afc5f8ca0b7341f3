/** Receives requests from callers and forwards them to endpoints. */
export * from './lib/buffers/heap-watch.js';
export * from './lib/sockets/bind-address.js';
export * from './lib/http/connection-limits.js';
export * from './lib/http/connection-turns.js';
export {listenServer} from './lib/http/http-server.js';
export * from './lib/forwarding/buffer-account.js';
export * from './lib/forwarding/endpoint-notices.js';
export * from './lib/forwarding/entry-server.js';
export * from './lib/forwarding/forwarder.js';
export type * from './lib/forwarding/forwarding-events.js';
export * from './lib/forwarding/request-heap.js';
