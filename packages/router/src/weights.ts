/** Brings engines to the weights that the operator names. */
export * from './lib/weights/engine-versions.js';
export type * from './lib/weights/weights-control.js';
export * from './lib/weights/naming-record.js';
export * from './lib/weights/weights-keeper.js';
export * from './lib/weights/change-turns.js';
