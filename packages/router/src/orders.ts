/** Calls to plain services: at most once, whole, and to their own caller. */
export * from './lib/orders/credential-headers.js';
