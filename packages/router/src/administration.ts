/** The administration API that operators use. */
export * from './lib/administration/administration-errors.js';
export * from './lib/administration/administration-server.js';
export * from './lib/administration/operators.js';
export type * from './lib/administration/ports.js';
export * from './lib/administration/schema-reference.js';
