/** Stand-ins for external systems, for tests and the demo. */
export * from './lib/platform/faults.js';
export * from './lib/platform/memory-platform.js';
export * from './lib/platform/platform-standin.js';
export * from './lib/engine/engine-settings.js';
export * from './lib/engine/engine-standin.js';
export {standinBytesPerToken, wordAt} from './lib/engine/generation-plan.js';
export * from './lib/service/execution-ledger.js';
export * from './lib/service/service-faults.js';
export * from './lib/service/service-standin.js';
export * from './lib/service/histories/history.js';
export * from './lib/service/histories/run-history.js';
