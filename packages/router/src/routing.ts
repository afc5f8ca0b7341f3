/** Where requests go: cache identity, placement, health and retry budgets. */
export * from './lib/routing/cache-identity.js';
export * from './lib/routing/prompt-pieces.js';
