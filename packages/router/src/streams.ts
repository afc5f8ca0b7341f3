/** Where streams began, and how a caller that comes back finds the software version of its stream. */
export * from './lib/streams/origin-finder.js';
export * from './lib/streams/software-history.js';
export * from './lib/streams/software-record.js';
export * from './lib/streams/stream-origin.js';
export * from './lib/streams/stream-origins.js';
export * from './lib/streams/stream-rows.js';
