/** The platform's services as the library sees them. */
export type * from './lib/platform/platform.js';
export * from './lib/platform/platform-errors.js';
export * from './lib/platform/http-platform.js';
