/** Updates that a neighbour has yet to be sent, so that none is sent twice or back to its sender. */

/** Pending updates for one neighbour. */
export type Outbox = {
	/** Members whose whole state is to be sent. */
	states: Set<string>;
	/** Members whose heartbeat counter advanced. */
	beats: Set<string>;
	/** Names of VMs whose state changed. */
	vms: Set<string>;
	/** Whether the next heartbeat requests the full state. */
	wantsAll: boolean;
	/** When the neighbour was last heard, on the monotonic clock. */
	heardAt: number;
};

/** Creates an empty outbox. */
export function createOutbox(): Outbox {
	return {
		states: new Set(), beats: new Set(), vms: new Set(), wantsAll: false, heardAt: -Infinity,
	};
}
