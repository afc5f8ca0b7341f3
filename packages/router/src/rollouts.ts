/** Bringing endpoints to the weights that the document asks for. */
export type * from './lib/rollouts/engine-control.js';
export * from './lib/rollouts/http-engine-control.js';
export * from './lib/rollouts/rollout-errors.js';
export * from './lib/rollouts/rollout-plan.js';
export type * from './lib/rollouts/rollout-record.js';
export * from './lib/rollouts/rollout-runner.js';
