/** Links between daemons, and their messages. */
export type * from './lib/links/peer-link.js';
export * from './lib/links/dispatch.js';
export * from './lib/links/body-size.js';
export * from './lib/links/peer-network.js';
export * from './lib/links/link-errors.js';
export * from './gen/hickorywalk/v1/configuration_pb.js';
export * from './gen/hickorywalk/v1/limits_pb.js';
export * from './gen/hickorywalk/v1/membership_pb.js';
export * from './gen/hickorywalk/v1/peer_pb.js';
export * from './gen/hickorywalk/v1/recovery_pb.js';
