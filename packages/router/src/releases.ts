/** Orders to move a service to endpoints of another software version. */
export * from './lib/releases/unproven-versions.js';
