/** The library's front door: the parts most programs need. */
export * from './configuration.js';
export * from './platform.js';
export * from './lib/errors/layer-error.js';
