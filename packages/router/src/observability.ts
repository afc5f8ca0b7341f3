/** Logs, metrics, service levels and burn reports. */
export * from './lib/observability/log.js';
export * from './lib/observability/metrics.js';
export * from './lib/observability/collecting-metrics.js';
export * from './lib/observability/service-levels/interval.js';
export * from './lib/observability/service-levels/recorder.js';
export * from './lib/observability/service-levels/merger.js';
export * from './lib/observability/service-levels/reader.js';
export * from './lib/observability/burn-report.js';
export * from './lib/observability/burn-text.js';
export * from './lib/observability/service-levels/upkeep.js';
export * from './lib/observability/line-batch.js';
export * from './lib/observability/line-budget.js';
