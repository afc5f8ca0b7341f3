/** The HTTP side toward callers, and what it asks of the other parts. */
export type * from './lib/gateway/ports.js';
