/** The one document that describes a fleet, and how it comes into force. */
export * from './lib/configuration/document.js';
export * from './lib/configuration/parse-document.js';
export * from './lib/configuration/configuration-errors.js';
