/** Enforces rates and bursts over all VMs, through reports between daemons. */
export * from './lib/quotas/fleet-quota.js';
