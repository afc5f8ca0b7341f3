/** Recovery of a diskless daemon from peers or snapshots at startup, and its readiness. */
export * from './lib/recovery/recovery.js';
export {createConfigurationPart, type RecoveryPart} from './lib/recovery/recovery-part.js';
