/** What each neighbour has still to be told, so that nothing goes out twice or back to where it came from. */

/** News toward one neighbour. */
export type Outbox = {
	/** Members whose whole state it should have. */
	states: Set<string>;
	/** Members whose counter went on. */
	beats: Set<string>;
	/** VMs by name. */
	vms: Set<string>;
	/** Ask for everything with the next heartbeat. */
	wantsAll: boolean;
	/** When it was last heard, by the monotonic clock. */
	heardAt: number;
};

/** Creates an outbox with nothing in it. */
export function createOutbox(): Outbox {
	return {
		states: new Set(), beats: new Set(), vms: new Set(), wantsAll: false, heardAt: -Infinity,
	};
}
