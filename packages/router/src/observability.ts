/** Logs, metrics and service levels: what operators see of a running fleet. */
export * from './lib/observability/log.js';
export * from './lib/observability/metrics.js';
export * from './lib/observability/collecting-metrics.js';
