/** Placement of requests: cache identity, placement, health and retry budgets. */
export * from './lib/routing/attempt-budget.js';
export * from './lib/routing/cache-identity.js';
export * from './lib/routing/health.js';
export {type PlacementEndpoint, type PlacerOptions} from './lib/routing/placement-options.js';
export {PlacementSnapshotError} from './lib/routing/placement-snapshot.js';
export * from './lib/routing/placer.js';
export * from './lib/routing/prompt-pieces.js';
export {homesByHash, positionOf} from './lib/routing/rendezvous.js';
