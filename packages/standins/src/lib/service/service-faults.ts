/** Faults of a plain service that a test injects, each for one connection. */

/** The fault of one connection. */
export type ServiceFault
	= | {kind: 'none'}
	/** Resets the connection after this many bytes of the request; the request does not run. */
		| {kind: 'reset_in_request'; afterBytes: number}
	/** Runs, sends this many bytes of the response, and resets or closes the connection. */
		| {kind: 'reset_in_answer' | 'close_in_answer'; afterBytes: number}
	/** Runs or not, and never responds. */
		| {kind: 'silent'; runs: boolean}
	/** Runs, and responds with another request's id. */
		| {kind: 'foreign_id'}
	/** Runs, and responds without a request id. */
		| {kind: 'no_id'}
	/** Runs, and responds with neither a content length nor chunked encoding. */
		| {kind: 'no_length'}
	/** Runs, and responds with a status that HTTP doesn't define. */
		| {kind: 'odd_status'};

/** Pending faults, one for each new connection. */
export type FaultQueue = {
	enqueue: (...faults: ServiceFault[]) => void;
	next: () => ServiceFault;
	/** Removes the faults that no connection has used. */
	clear: () => void;
};

/** Creates an empty queue. */
export function createFaultQueue(): FaultQueue {
	const queue: ServiceFault[] = [];
	return {
		enqueue(...faults) {
			queue.push(...faults);
		},
		next: () => queue.shift() ?? {kind: 'none'},
		clear() {
			queue.length = 0;
		},
	};
}
