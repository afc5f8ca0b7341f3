/** Generated histories for orders: calls, and the faults that occur. */

/** Fault of one exchange with the endpoint. */
export const exchangeFaults = [
	'answered',
	'slow',
	'refused',
	'paused',
	'reset_unrun',
	'reset_run',
	'silent_unrun',
	'silent_run',
	'late_run',
	'crossed',
	'unframed',
	'truncated',
] as const;

/** Fault of one call to the table. */
export const tableFaults = ['none', 'slow', 'dropped', 'lost', 'delayed'] as const;

export type ExchangeFault = typeof exchangeFaults[number];
export type TableFault = typeof tableFaults[number];

/** One call of one caller. */
export type HistoryCall = {
	/** Milliseconds from the start of the history. */
	atMs: number;
	/** Index of the VM that receives the call. */
	vm: number;
	/** The order that is placed; keyed calls with the same order are repeats. */
	order: number;
	keyed: boolean;
	/** Whether the call may run more than once; its key is then ignored. */
	idempotent: boolean;
};

/** A history. The fault scripts are consumed in order; after their end there are no faults. */
export type History = {
	calls: HistoryCall[];
	exchanges: ExchangeFault[];
	table: TableFault[];
	/** Whether the service has a status path for requests. */
	tellsStatus: boolean;
	/** VMs that are lost, with the time. */
	losses: Array<{atMs: number; vm: number}>;
	/** When an operator settles orders as not run, where the rules allow it. */
	operatorAtMs: number;
};

/** Number of VMs that receive calls. */
export const historyVms = 3;

/** Results of a history. */
export type Verdict = {
	tried: number;
	/** Calls that got a complete response, including stored ones. */
	answered: number;
	/** Calls whose response says that the outcome is unknown, or whose connection broke off. */
	unknown: number;
	/** Calls whose response says "not run". */
	refused: number;
	/** Executions of an order beyond the first, without idempotent calls. */
	doubled: number;
	/** Orders that ran, but for which no caller got a definite outcome and which are neither recorded as run nor listed as unknown. */
	lost: number;
	/** Calls whose response says "not run" although they ran. */
	untrue_not_run: number;
	/** Calls that got the response to another order, a partial response as a complete one, or "ran" although the order did not run. */
	foreign: number;
	/** Writes to the table, and the number of transactions. */
	writes: number;
	transactions: number;
};
