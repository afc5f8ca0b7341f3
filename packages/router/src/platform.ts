/** Interfaces, errors and the HTTP client of the platform's services. */
export type * from './lib/platform/platform.js';
export * from './lib/platform/platform-errors.js';
export * from './lib/platform/http-platform.js';
