/** A generated course of events for orders: what is called, and what goes wrong. */

/** What one exchange with the endpoint meets. */
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

/** What one call of the table meets. */
export const tableFaults = ['none', 'slow', 'dropped', 'lost', 'delayed'] as const;

export type ExchangeFault = typeof exchangeFaults[number];
export type TableFault = typeof tableFaults[number];

/** One call of one caller. */
export type HistoryCall = {
	/** Milliseconds after the start. */
	atMs: number;
	/** Which VM takes it. */
	vm: number;
	/** Which order it places; calls with a key and the same order are repeats. */
	order: number;
	keyed: boolean;
	/** Whether the call may run twice; its key then counts for nothing. */
	idempotent: boolean;
};

/** A course of events. The scripts are used up in order; then nothing goes wrong. */
export type History = {
	calls: HistoryCall[];
	exchanges: ExchangeFault[];
	table: TableFault[];
	/** Whether the service tells what became of a request. */
	tellsStatus: boolean;
	/** VMs that are lost, and when. */
	losses: Array<{atMs: number; vm: number}>;
	/** When an operator settles as never run what the rules let settle so. */
	operatorAtMs: number;
};

/** VMs that take calls. */
export const historyVms = 3;

/** What came of a history. */
export type Verdict = {
	tried: number;
	/** Calls that got a whole answer, stored ones included. */
	answered: number;
	/** Calls that were told or shown that their outcome is not known. */
	unknown: number;
	/** Calls that were told that they did not run. */
	refused: number;
	/** Executions of an order beyond its first, idempotent calls left out. */
	doubled: number;
	/** Orders that ran, but whose caller was told nothing definite and whose record does not show or list them. */
	lost: number;
	/** Calls that were told "not run" though they ran. */
	untrue_not_run: number;
	/** Calls that got the answer to another order, a part as the whole, or an untrue "ran". */
	foreign: number;
	/** Writes to the table, and the transactions they came in. */
	writes: number;
	transactions: number;
};
