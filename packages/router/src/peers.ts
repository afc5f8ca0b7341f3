/** Exchange of state reports between daemons over UDP. */
export * from './lib/peers/feed-readers.js';
export * from './lib/peers/fleet-key.js';
export * from './lib/peers/peer-exchange.js';
export * from './lib/peers/peer-report.js';
export * from './lib/peers/peer-directory.js';
export * from './lib/peers/report-codec.js';
export * from './lib/peers/datagram-transport.js';
