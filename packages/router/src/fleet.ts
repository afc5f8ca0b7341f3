/** State of the fleet: the operator's document, endpoints, and the feeds that keep them current. */
export * from './lib/errors/layer-error.js';
export type * from './lib/fleet/call-headers.js';
export * from './lib/fleet/change-feed.js';
export * from './lib/fleet/change-source.js';
export * from './lib/fleet/document-guard.js';
export * from './lib/fleet/endpoint-presence.js';
export * from './lib/fleet/endpoint-tracker.js';
export * from './lib/fleet/feed-relay.js';
export type * from './lib/fleet/fleet-document.js';
export * from './lib/fleet/fleet-view.js';
export * from './lib/fleet/live-endpoint.js';
export * from './lib/fleet/route-table.js';
export * from './lib/time/fleet-clock.js';
export * from './lib/fleet/socket-address.js';
