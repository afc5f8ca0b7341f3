/** How a daemon without a disk starts warm, and when it may serve. */
export * from './lib/recovery/recovery.js';
export {createConfigurationPart, type RecoveryPart} from './lib/recovery/recovery-part.js';
