/**
 * The service-level burn report: how much of each objective's error budget is
 * used, how fast, by whom, and what used it.
 *
 * Burn 1 means that the budget is used exactly at the end of its period; burn
 * 10 that it is gone in a tenth of it.
 */
import {type FleetDocument, type Objective} from '../configuration/document.js';
import {type ObjectClient} from '../platform/platform.js';
import {type Log} from './log.js';
import {type Metrics} from './metrics.js';
import {
	countWithin, decodeHistogram, rowKey, type ServiceLevelInterval, type ServiceLevelRow,
} from './service-levels/interval.js';
import {hourMs} from './service-levels/object-names.js';
import {readIntervals} from './service-levels/reader.js';

/** The windows of the report, in milliseconds; the last is the budget's period. */
export const burnWindows = {'1h': hourMs, '6h': 6 * hourMs, '3d': 72 * hourMs} as const;

export type BurnWindowName = keyof typeof burnWindows;

const periodName = '3d';
const windowEntries = [['1h', burnWindows['1h']], ['6h', burnWindows['6h']], ['3d', burnWindows['3d']]] as const;

/** Requests that an objective counts, and those that broke it by cause. */
type Tally = {total: number; causes: Record<string, number>};

/** What each kind of objective counts as total and as broken. */
const objectiveKinds = {
	/** Rightful refusals and callers that went away count neither way. */
	availability: {
		allowed: (objective: Objective) => 1 - objective.availability,
		tally: (row: ServiceLevelRow) => ({
			total: row.answered + row.failed + row.refused_wrongfully,
			causes: {failed: row.failed, refused_wrongfully: row.refused_wrongfully},
		}),
	},
	first_token: {
		allowed: (objective: Objective) => objective.firstTokenMs === undefined || objective.firstTokenShare === undefined ? undefined : 1 - objective.firstTokenShare,
		tally: (row: ServiceLevelRow, objective: Objective) => tallyFirstToken(row, objective.firstTokenMs ?? 0),
	},
	wrongful_refusals: {
		allowed: (objective: Objective) => objective.wrongfulRefusals,
		tally: (row: ServiceLevelRow) => ({
			total: row.answered + row.failed + row.refused_wrongfully,
			causes: {refused_wrongfully: row.refused_wrongfully},
		}),
	},
} as const satisfies Record<string, {allowed: (objective: Objective) => number | undefined; tally: (row: ServiceLevelRow, objective: Objective) => Tally}>;

export type ObjectiveKind = keyof typeof objectiveKinds;

function tallyFirstToken(row: ServiceLevelRow, ms: number): Tally {
	if (row.firstTokenMs === undefined) {
		return {total: 0, causes: {}};
	}

	const histogram = decodeHistogram(row.firstTokenMs);
	return {total: histogram.totalCount, causes: {late_first_token: histogram.totalCount - countWithin(histogram, ms)}};
}

export type WindowBurn = {
	total: number;
	broken: number;
	/** Share broken over share allowed; `null` when nothing was counted. */
	burn: number | null;
};

/** One objective of one workspace. */
export type ObjectiveBurn = {
	workspace: string;
	service: string;
	objective: ObjectiveKind;
	/** Share of requests that may break the objective. */
	allowed: number;
	windows: Record<BurnWindowName, WindowBurn>;
	/** Share of the period's error budget that is left; below 0 when overspent. */
	budgetLeft: number | null;
	/** Requests of the period that broke it, by cause, worst first. */
	causes: Array<{cause: string; requests: number}>;
	/** Burn by hour of the period, oldest first; `null` for hours without requests. */
	hours: Array<number | null>;
};

export type BurnReport = {
	/** Milliseconds since 1970. */
	at: number;
	/** Version of the document whose objectives these are. */
	version: number;
	/** Worst first: by burn over six hours, then over the period. */
	objectives: ObjectiveBurn[];
	/** Workspace of the objective that stands worst; absent when none burns. */
	worstServed?: {workspace: string; service: string; objective: ObjectiveKind};
	/** Objects of the store that are not in the report, with the reason. */
	leftOut: number;
	notRead: number;
};

export type BurnReportOptions = {
	objects: ObjectClient;
	document: FleetDocument;
	version: number;
	/** Raw objects to read at most; see {@link readIntervals}. */
	mostRaw?: number;
	log?: Log;
};

type Counting = {
	workspace: string;
	service: string;
	kind: ObjectiveKind;
	allowed: number;
	objective: Objective;
	windows: Record<BurnWindowName, {total: number; broken: number}>;
	causes: Record<string, number>;
	hours: Array<{total: number; broken: number}>;
};

/**
 * Makes the report as of now. Memory grows with the objectives, not with the
 * intervals read.
 *
 * @throws PlatformUnavailableError when the store is out.
 */
export async function createBurnReport(options: BurnReportOptions): Promise<BurnReport> {
	const {document, version, ...reading} = options;
	const at = Date.now();
	const countings = listCountings(document);
	const byRow = new Map<string, Counting[]>();
	for (const counting of countings) {
		const key = rowKey(counting.workspace, counting.service);
		byRow.set(key, [...byRow.get(key) ?? [], counting]);
	}

	const {leftOut, notRead} = await readIntervals({...reading, since: at - burnWindows[periodName]}, interval => {
		countInterval(byRow, interval, at);
	});
	const objectives = countings.map(counting => finishCounting(counting)).toSorted((a, b) => rankOf(b) - rankOf(a));
	const [worst] = objectives;
	return {
		at,
		version,
		objectives,
		...(worst !== undefined && rankOf(worst) > 0 && {worstServed: {workspace: worst.workspace, service: worst.service, objective: worst.objective}}),
		leftOut,
		notRead,
	};
}

function listCountings(document: FleetDocument): Counting[] {
	const countings: Counting[] = [];
	for (const workspace of document.workspaces) {
		for (const objective of workspace.objectives) {
			for (const kind of ['availability', 'first_token', 'wrongful_refusals'] as const) {
				const allowed = objectiveKinds[kind].allowed(objective);
				if (allowed !== undefined) {
					countings.push(createCounting(workspace.name, objective, kind, allowed));
				}
			}
		}
	}

	return countings;
}

function createCounting(workspace: string, objective: Objective, kind: ObjectiveKind, allowed: number): Counting {
	const none = () => ({total: 0, broken: 0});
	return {
		workspace,
		service: objective.service,
		kind,
		allowed,
		objective,
		windows: {'1h': none(), '6h': none(), '3d': none()},
		causes: {},
		hours: Array.from({length: burnWindows[periodName] / hourMs}, none),
	};
}

function countInterval(byRow: ReadonlyMap<string, Counting[]>, interval: ServiceLevelInterval, at: number): void {
	for (const row of interval.rows) {
		for (const counting of byRow.get(rowKey(row.workspace, row.service)) ?? []) {
			countRow(counting, row, interval.to, at);
		}
	}
}

/** An interval belongs to the time of its end; windows are exact to one merged span. */
function countRow(counting: Counting, row: ServiceLevelRow, to: number, at: number): void {
	const tally: Tally = objectiveKinds[counting.kind].tally(row, counting.objective);
	let broken = 0;
	for (const [cause, requests] of Object.entries(tally.causes)) {
		broken += requests;
		counting.causes[cause] = (counting.causes[cause] ?? 0) + requests;
	}

	const hoursAgo = Math.max(0, Math.floor((at - to) / hourMs));
	const counters = [counting.hours.at(-1 - hoursAgo)];
	for (const [name, ms] of windowEntries) {
		if (to > at - ms) {
			counters.push(counting.windows[name]);
		}
	}

	for (const counter of counters) {
		if (counter !== undefined) {
			counter.total += tally.total;
			counter.broken += broken;
		}
	}
}

function finishCounting(counting: Counting): ObjectiveBurn {
	const {workspace, service, kind, allowed} = counting;
	const burnOf = ({total, broken}: {total: number; broken: number}): number | null => total === 0 ? null : broken / total / allowed;
	const finishWindow = (window: {total: number; broken: number}): WindowBurn => ({...window, burn: burnOf(window)});
	const period = burnOf(counting.windows[periodName]);
	return {
		workspace,
		service,
		objective: kind,
		allowed,
		windows: {'1h': finishWindow(counting.windows['1h']), '6h': finishWindow(counting.windows['6h']), '3d': finishWindow(counting.windows['3d'])},
		budgetLeft: period === null ? null : 1 - period,
		causes: Object.entries(counting.causes)
			.filter(([, requests]) => requests > 0)
			.map(([cause, requests]) => ({cause, requests}))
			.toSorted((a, b) => b.requests - a.requests),
		hours: counting.hours.map(hour => burnOf(hour)),
	};
}

const rankOf = (burn: ObjectiveBurn): number => (burn.windows['6h'].burn ?? 0) + ((burn.windows['3d'].burn ?? 0) / 1000);

/** Burn at which an operator should act at once, and which windows show it. */
export const fastBurn = 14.4;

/**
 * Reports burn as metrics, for alerts. Workspace and service are tags; the
 * name carries the objective and the window.
 */
export function reportBurnMetrics(report: BurnReport, metrics: Metrics): void {
	for (const {workspace, service, objective, windows, budgetLeft} of report.objectives) {
		const tags = {workspace, service};
		for (const [name] of windowEntries) {
			metrics.gauge(`burn.${objective}.${name}`, windows[name].burn ?? 0, tags);
		}

		metrics.gauge(`budget_left.${objective}`, budgetLeft ?? 1, tags);
		const isFast = (windows['1h'].burn ?? 0) >= fastBurn && (windows['6h'].burn ?? 0) >= fastBurn;
		metrics.gauge(`burn_alert.${objective}`, isFast ? 1 : 0, tags);
	}
}
