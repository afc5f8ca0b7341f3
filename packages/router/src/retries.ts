/** Limits repeats of requests over all daemons. */
export * from './lib/retries/retry-part-holder.js';
export * from './lib/retries/retry-window.js';
