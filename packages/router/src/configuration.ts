/** The document that describes a fleet: its validation, storage and distribution to the daemons. */
export * from './lib/configuration/document.js';
export * from './lib/configuration/parse-document.js';
export * from './lib/configuration/configuration-errors.js';
export * from './lib/configuration/configuration-store.js';
export * from './lib/configuration/configuration-follower.js';
export * from './lib/configuration/confirmations.js';
export * from './lib/configuration/document-difference.js';
export * from './lib/configuration/key-ring.js';
export {
	applyDelta, deltaTo, emptySectionSet, fullDelta as wholeDelta, type SectionDelta, type SectionSet,
} from './lib/configuration/section-set.js';
export type {ConfigurationLoader, HeldConfiguration, StoredHead} from './lib/configuration/configuration-loader.js';
export type {VersionRecord} from './lib/configuration/configuration-records.js';
export {
	answerRequest, createStepHistory, type StepHistory, type VersionStep,
} from './lib/configuration/section-exchange.js';
export * from './lib/configuration/document-index.js';
