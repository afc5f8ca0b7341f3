/** Test fixture: limiters of several daemons over fake links and a fake table. */
import {
	createTokenLimiter, type FleetTokenLimiter, type LimiterSettings, type WorkspaceLimit,
} from '../../limits.js';
import {type PeerBody} from '../../links.js';
import {
	PlatformUnavailableError, type TableClient, type TableRow, type VmList,
} from '../../platform.js';

/** Fault of the table during a call. */
export type TableFault = 'none' | 'down' | 'answer-lost';

/** Creates a table in memory; `fault` is asked for the fault of each call. */
export function createFakeTable(fault: () => TableFault) {
	const rows = new Map<string, TableRow>();
	async function call<Result>(writes: boolean, run: () => Result): Promise<Result> {
		const met = fault();
		if (met === 'down') {
			throw new PlatformUnavailableError('down', false);
		}

		const result = run();
		if (met === 'answer-lost') {
			throw new PlatformUnavailableError('answer lost', writes);
		}

		return result;
	}

	const table: TableClient & {rows: typeof rows; writes: number; reads: number} = {
		rows,
		writes: 0,
		reads: 0,
		async get(key) {
			table.reads += 1;
			return call(false, () => rows.get(key));
		},
		async list({prefix, after = '', limit = 1000}) {
			table.reads += 1;
			return call(false, () => [...rows.values()]
				.filter(row => row.key.startsWith(prefix) && row.key > after)
				.toSorted((a, b) => (a.key < b.key ? -1 : 1))
				.slice(0, limit));
		},
		async transact(writes) {
			table.writes += 1;
			return call(true, () => {
				const conflicts = writes
					.filter(write => write.ifVersion !== undefined && (rows.get(write.key)?.version ?? 0) !== write.ifVersion)
					.map(write => ({key: write.key, version: rows.get(write.key)?.version ?? 0}));
				if (conflicts.length > 0) {
					return {committed: false as const, conflicts};
				}

				const versions: Record<string, number> = {};
				for (const {key, value} of writes) {
					versions[key] = (rows.get(key)?.version ?? 0) + 1;
					rows.set(key, {key, value: value ?? '', version: versions[key]});
				}

				return {committed: true as const, versions};
			});
		},
	};
	return table;
}

/** One daemon of the fleet. */
export type FleetDaemon = {
	name: string;
	incarnation: bigint;
	limiter: FleetTokenLimiter;
	alive: boolean;
	paused: boolean;
	/** Callbacks and messages that arrived while the daemon was paused. */
	deferred: Array<() => void>;
};

/** Tokens charged at a time; negative if unused tokens were returned. */
export type Charge = {at: number; tokens: number};

/** One request for tokens. */
export type Ask = {
	workspace: string;
	tokens: number;
	longestWaitMs: number;
	/** Fraction of the tokens that is used; the rest is returned after `settleAfterMs`. */
	usedShare?: number;
	settleAfterMs?: number;
};

/** Options of {@link createFleet}. */
export type FleetOptions = {
	limits: WorkspaceLimit[];
	settings?: Partial<LimiterSettings>;
	/** Delay in milliseconds of each copy of a message; empty if it is lost. */
	delays?: (from: string, to: string) => number[];
	tableFault?: (name: string) => TableFault;
};

/** Creates a fleet without daemons. The caller must install fake timers. */
export function createFleet(options: FleetOptions) {
	const daemons = new Map<string, FleetDaemon>();
	let caller = '';
	const table = createFakeTable(() => options.tableFault?.(caller) ?? 'none');
	const charges: Charge[] = [];
	let listVersion = 0;
	let limits = [...options.limits];

	/** Runs now, or once the daemon resumes; never after it crashed. */
	function runOn(daemon: FleetDaemon, run: () => void): void {
		if (!daemon.alive) {
			return;
		}

		if (daemon.paused) {
			daemon.deferred.push(run);
		} else {
			run();
		}
	}

	function post(from: FleetDaemon, to: string, body: PeerBody): void {
		for (const delay of (options.delays ?? (() => [1]))(from.name, to)) {
			setTimeout(() => {
				const target = daemons.get(to);
				if (!target) {
					return;
				}

				runOn(target, () => {
					const origin = {name: from.name, incarnation: from.incarnation};
					if (body.case === 'shareRequest') {
						target.limiter.handlers.shareRequest?.(origin, body.value);
					} else if (body.case === 'shareTransfer') {
						target.limiter.handlers.shareTransfer?.(origin, body.value);
					}
				});
			}, delay);
		}
	}

	/** The table as a daemon sees it: answers are deferred while the daemon is paused and dropped once it crashed. */
	function tableOf(daemon: () => FleetDaemon): TableClient {
		async function gate<Result>(result: Promise<Result>): Promise<Result> {
			const [settled] = await Promise.allSettled([result]);
			await new Promise<void>(resolve => {
				runOn(daemon(), resolve);
			});
			if (settled.status === 'rejected') {
				throw new PlatformUnavailableError('no answer', true, {cause: settled.reason});
			}

			return settled.value;
		}

		return {
			async get(key) {
				caller = daemon().name;
				return gate(table.get(key));
			},
			async list(range) {
				caller = daemon().name;
				return gate(table.list(range));
			},
			async transact(writes) {
				caller = daemon().name;
				return gate(table.transact(writes));
			},
		};
	}

	const vmList = (): VmList => ({
		version: listVersion,
		vms: [...daemons.values()].filter(daemon => daemon.alive || daemon.paused).map(daemon => ({
			name: daemon.name, role: 'entry', dataCentre: 'dc', address: daemon.name, state: 'live',
		})),
	});

	const fleet = {
		daemons,
		table,
		charges,
		/** Starts a daemon, or a new process of it after ending the old one. */
		start(name: string): FleetDaemon {
			const before = daemons.get(name);
			fleet.crash(name);
			const incarnation = (before?.incarnation ?? 0n) + 1n;
			const daemon: FleetDaemon = {
				name, incarnation, alive: true, paused: false, deferred: [],
				limiter: createTokenLimiter({
					name,
					incarnation,
					settings: options.settings,
					run(callback) {
						runOn(daemon, callback);
					},
					table: tableOf(() => daemon),
					send(to, body) {
						post(daemon, to, body);
					},
				}),
			};
			daemons.set(name, daemon);
			daemon.limiter.setWorkspaces(limits);
			fleet.announce();
			void daemon.limiter.start();
			return daemon;
		},
		/** Ends the process between two steps. */
		crash(name: string): void {
			const daemon = daemons.get(name);
			if (daemon) {
				daemon.alive = false;
				daemon.paused = false;
				daemon.limiter.close();
			}
		},
		/** Ends the process and its VM, which is missing from the next VM list. */
		remove(name: string): void {
			fleet.crash(name);
			daemons.delete(name);
			fleet.announce();
		},
		/** Suspends the daemon: callbacks and messages are deferred until it resumes. */
		pause(name: string): void {
			const daemon = daemons.get(name);
			if (daemon?.alive) {
				daemon.paused = true;
			}
		},
		resume(name: string): void {
			const daemon = daemons.get(name);
			if (daemon?.paused) {
				daemon.paused = false;
				for (const run of daemon.deferred.splice(0)) {
					runOn(daemon, run);
				}
			}
		},
		announce(): void {
			listVersion += 1;
			const peers = [...daemons.values()].map(({name}) => ({name, dataCentre: 'dc'}));
			const list = vmList();
			for (const daemon of daemons.values()) {
				runOn(daemon, () => {
					daemon.limiter.setPeers(peers);
					daemon.limiter.observeVmList(list);
				});
			}
		},
		setLimits(next: WorkspaceLimit[]): void {
			limits = next;
			for (const daemon of daemons.values()) {
				runOn(daemon, () => {
					daemon.limiter.setWorkspaces(next);
				});
			}
		},
		/** Requests tokens and records the charge if granted. */
		async ask(name: string, {workspace, tokens, longestWaitMs, usedShare = 1, settleAfterMs = 0}: Ask) {
			const daemon = daemons.get(name);
			if (!daemon?.alive || daemon.paused) {
				return undefined;
			}

			const askedAt = performance.now();
			const result = await daemon.limiter.reserve(workspace, tokens, longestWaitMs);
			const now = performance.now();
			if (result.granted) {
				charges.push({at: now, tokens});
				setTimeout(() => {
					const used = Math.floor(tokens * usedShare);
					runOn(daemon, () => {
						// Overuse is a debt for later and not charged here.
						charges.push({at: performance.now(), tokens: Math.min(0, used - tokens)});
						result.reservation.settle(used);
					});
				}, settleAfterMs);
			}

			return {...result, tookMs: now - askedAt};
		},
		close(): void {
			for (const name of daemons.keys()) {
				fleet.crash(name);
			}
		},
	};
	return fleet;
}

/** Largest amount by which the charges of any window exceed burst + rate x length. */
export function largestExcess(charges: readonly Charge[], limit: WorkspaceLimit): number {
	// The charges are replayed on a single token bucket: its debt is the excess.
	let level = limit.burstTokens;
	let at = 0;
	let excess = 0;
	for (const charge of charges) {
		level = Math.min(limit.burstTokens, level + (limit.tokensPerSecond * (charge.at - at) / 1000));
		at = charge.at;
		level = Math.min(limit.burstTokens, level - charge.tokens);
		excess = Math.max(excess, -level);
	}

	return excess;
}

/** Tokens of excess below which it is a rounding error of floating-point sums. */
export const roundingTokens = 1e-6;

/** Sum of a value over all items. */
export function sumBy<Item>(items: Iterable<Item>, figure: (item: Item) => number): number {
	let sum = 0;
	for (const item of items) {
		sum += figure(item);
	}

	return sum;
}
