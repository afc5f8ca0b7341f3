/** Assigns duties to daemons by leases with fencing tokens. */
export * from './lib/leases/duty-timer.js';
export * from './lib/leases/lease-errors.js';
export * from './lib/leases/lease-holder.js';
