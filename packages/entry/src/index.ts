/** The entry daemon as a library: its container, start and stop. */
export * from './lib/entry-daemon.js';
export * from './lib/entry-parts.js';
export type * from './lib/wiring/parts.js';
