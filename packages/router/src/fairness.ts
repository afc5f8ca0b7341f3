/** Fair queueing of requests to a busy service. */
export * from './lib/fairness/fair-queue.js';
