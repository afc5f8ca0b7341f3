/** Public entry of this package: traces and their replay. */
export * from './lib/replay/best-possible.js';
export * from './lib/replay/measures.js';
export {policyNames, type PolicyName} from './lib/replay/policies.js';
export * from './lib/replay/replay.js';
export * from './lib/replay/replay-file.js';
export * from './lib/replay/shipped-traces.js';
export * from './lib/replay/trace-errors.js';
export * from './lib/replay/trace-file.js';
export * from './lib/replay/trace-format.js';
export * from './lib/replay/trace-recorder.js';
