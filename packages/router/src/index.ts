/** Main entry point of the library: configuration, platform clients and the base error class. */
export * from './configuration.js';
export * from './platform.js';
export * from './lib/errors/layer-error.js';
