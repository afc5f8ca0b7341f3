/** Rollouts of the weights version that the configuration document names to endpoints. */
export type * from './lib/rollouts/engine-control.js';
export * from './lib/rollouts/http-engine-control.js';
export * from './lib/rollouts/rollout-errors.js';
export * from './lib/rollouts/rollout-plan.js';
export type * from './lib/rollouts/rollout-record.js';
export * from './lib/rollouts/rollout-runner.js';
