/** The process's event loop, and tasks that are repeated. */
export * from './lib/time/answer-limits.js';
export {type CallAttempt} from './lib/time/call-attempts.js';
export * from './lib/time/event-loop-lag.js';
export * from './lib/time/periodic-task.js';
