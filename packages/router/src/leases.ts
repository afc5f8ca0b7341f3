/** Duties spread over daemons by leases with fencing numbers. */
export * from './lib/leases/lease-errors.js';
export * from './lib/leases/lease-holder.js';
