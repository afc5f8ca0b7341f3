/** Admits requests: sends those that can be served in time, and refuses the others. */
export * from './lib/admission/admission.js';
export * from './lib/admission/admission-decision.js';
