/** Buffers for bytes that somebody else has cut into chunks. */
export * from './lib/buffers/byte-collector.js';
export * from './lib/buffers/read-whole.js';
