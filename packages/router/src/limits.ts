/** Token rate limits of workspaces, enforced over all VMs together. */
export * from './lib/limits/limiter-settings.js';
export * from './lib/limits/limits-errors.js';
export * from './lib/limits/liveness-evidence.js';
export * from './lib/limits/token-level.js';
export * from './lib/limits/token-limiter.js';
