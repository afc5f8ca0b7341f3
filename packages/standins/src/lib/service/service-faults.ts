/** Faults of a plain service that a test orders, each for one connection. */

/** What goes wrong on one connection. */
export type ServiceFault
	= | {kind: 'none'}
	/** Resets once this many bytes of the request came; it does not run. */
		| {kind: 'reset_in_request'; afterBytes: number}
	/** Runs, sends this many bytes of the answer, and resets or closes. */
		| {kind: 'reset_in_answer' | 'close_in_answer'; afterBytes: number}
	/** Runs or not, and never answers. */
		| {kind: 'silent'; runs: boolean}
	/** Runs, and answers in the name of another request. */
		| {kind: 'foreign_id'}
	/** Runs, and answers without a request id. */
		| {kind: 'no_id'}
	/** Runs, and answers with neither a length nor chunks. */
		| {kind: 'no_length'};

/** The faults to come, one for each new connection. */
export type FaultQueue = {
	order: (...faults: ServiceFault[]) => void;
	next: () => ServiceFault;
	/** Forgets the faults that no connection met. */
	clear: () => void;
};

/** Creates a queue without faults. */
export function createFaultQueue(): FaultQueue {
	const queue: ServiceFault[] = [];
	return {
		order(...faults) {
			queue.push(...faults);
		},
		next: () => queue.shift() ?? {kind: 'none'},
		clear() {
			queue.length = 0;
		},
	};
}
