/** Counts what really ran: the oracle for "at most once" and for "not run". */

/** Executions by request id and by order. */
export type ExecutionLedger = {
	/** Executions by request id. */
	executions: Map<string, number>;
	/** Executions by the order that the request named. */
	orders: Map<string, number>;
	/** Counts one execution; returns how often the order has run. */
	run: (requestId: string, order: string) => number;
};

/** Creates an empty ledger. */
export function createExecutionLedger(): ExecutionLedger {
	const executions = new Map<string, number>();
	const orders = new Map<string, number>();
	return {
		executions,
		orders,
		run(requestId, order) {
			executions.set(requestId, (executions.get(requestId) ?? 0) + 1);
			const times = (orders.get(order) ?? 0) + 1;
			orders.set(order, times);
			return times;
		},
	};
}
