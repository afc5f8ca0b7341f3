/** Whose request goes next when a service is busy. */
export * from './lib/fairness/fair-queue.js';
