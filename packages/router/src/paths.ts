/** Paths between daemons and endpoints, and the way through other daemons where a path is lost. */
export * from './lib/paths/connection-check.js';
export * from './lib/paths/endpoint-opinion.js';
export * from './lib/paths/endpoint-paths.js';
export * from './lib/paths/relay.js';
export * from './lib/paths/relay-peers.js';
export * from './lib/relaying/relay-server.js';
