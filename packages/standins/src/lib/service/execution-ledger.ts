/** Counts actual executions; tests check "at most once" and "not run" against it. */

/** Execution counts by request id and by order. */
export type ExecutionLedger = {
	/** Number of executions by request id. */
	executions: Map<string, number>;
	/** Number of executions by the order that the request names. */
	orders: Map<string, number>;
	/** Counts one execution; returns the number of executions of the order. */
	record: (requestId: string, order: string) => number;
};

/** Creates an empty ledger. */
export function createExecutionLedger(): ExecutionLedger {
	const executions = new Map<string, number>();
	const orders = new Map<string, number>();
	return {
		executions,
		orders,
		record(requestId, order) {
			executions.set(requestId, (executions.get(requestId) ?? 0) + 1);
			const times = (orders.get(order) ?? 0) + 1;
			orders.set(order, times);
			return times;
		},
	};
}
