/** Rates and bursts over all VMs, by what daemons tell each other. */
export * from './lib/quotas/fleet-quota.js';
