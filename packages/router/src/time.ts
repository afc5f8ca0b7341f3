/** The process's event loop. */
export * from './lib/time/event-loop-lag.js';
