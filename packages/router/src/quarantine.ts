/** Refuses requests that crash endpoints. */
export * from './lib/quarantine/crash-evidence.js';
export * from './lib/quarantine/crash-watch.js';
export * from './lib/quarantine/prompt-part-keys.js';
export * from './lib/quarantine/quarantine.js';
export * from './lib/quarantine/quarantine-report.js';
export * from './lib/quarantine/refusal-store.js';
export * from './lib/quarantine/request-digest.js';
