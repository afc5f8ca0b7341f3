/** The daemon as a library, for programs that embed it. */
export * from './lib/daemon.js';
export * from './lib/settings.js';
export * from './lib/daemon-errors.js';
