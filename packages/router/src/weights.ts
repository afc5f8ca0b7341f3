/** Rolling updates of engines to the weights that the operator names. */
export * from './lib/weights/engine-versions.js';
export type * from './lib/weights/weights-control.js';
export * from './lib/weights/naming-record.js';
export * from './lib/weights/weights-rollout.js';
export * from './lib/weights/rollout-planner.js';
export * from './lib/weights/weights-deadlines.js';
