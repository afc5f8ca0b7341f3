/**
 * The service-level burn report: how much of each objective's error budget is
 * used, at which burn rate, by which workspace, and by which causes.
 *
 * At a burn rate of 1 the budget lasts exactly for its period; at 10 it is
 * used up in a tenth of the period.
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

/** Windows of the report, in milliseconds; the last is the period of the error budget. */
export const burnWindows = {'1h': hourMs, '6h': 6 * hourMs, '3d': 72 * hourMs} as const;

export type BurnWindowName = keyof typeof burnWindows;

const budgetPeriod = '3d';
const windowEntries = [['1h', burnWindows['1h']], ['6h', burnWindows['6h']], ['3d', burnWindows['3d']]] as const;

/** Requests that count towards an objective, and those that violated it, by cause. */
type Tally = {total: number; causes: Record<string, number>};

/** For each kind of objective, the allowed share of violations and how a row is counted. */
const objectiveKinds = {
	/** Rightful refusals and cancelled requests are not counted. */
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
	/** Burn rate: share of violations divided by the allowed share; `null` if nothing was counted. */
	burn: number | null;
};

/** Burn of one objective of one workspace. */
export type ObjectiveBurn = {
	workspace: string;
	service: string;
	objective: ObjectiveKind;
	/** Share of requests that may violate the objective, from 0 to 1. */
	allowed: number;
	windows: Record<BurnWindowName, WindowBurn>;
	/** Remaining share of the period's error budget; negative if overspent, `null` without requests. */
	budgetLeft: number | null;
	/** Requests of the period that violated the objective, by cause, most frequent first. */
	causes: Array<{cause: string; requests: number}>;
	/** Burn rate for each hour of the period, oldest first; `null` for hours without requests. */
	hours: Array<number | null>;
};

export type BurnReport = {
	/** Milliseconds since 1970. */
	at: number;
	/** Configuration version that the objectives come from. */
	version: number;
	/** Worst first, by burn rate over six hours, then over the period. */
	objectives: ObjectiveBurn[];
	/** The worst objective; absent if no objective burns. */
	worstServed?: {workspace: string; service: string; objective: ObjectiveKind};
	/** Objects that could not be read, or that overlap others in part, and are not counted. */
	leftOut: number;
	/** Newest raw objects beyond `maxRawObjects`, which are not counted. */
	notRead: number;
};

export type BurnReportOptions = {
	objects: ObjectClient;
	document: FleetDocument;
	version: number;
	/** Maximum number of raw objects to read; see {@link readIntervals}. */
	maxRawObjects?: number;
	log?: Log;
};

type ObjectiveCounters = {
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
 * Creates the report for the current time. Memory use grows with the number of
 * objectives, not with the number of intervals read.
 *
 * @throws PlatformUnavailableError if the object store is unavailable.
 */
export async function createBurnReport(options: BurnReportOptions): Promise<BurnReport> {
	const {document, version, ...reading} = options;
	const at = Date.now();
	const allCounters = createAllCounters(document);
	const byRow = new Map<string, ObjectiveCounters[]>();
	for (const counters of allCounters) {
		const key = rowKey(counters.workspace, counters.service);
		byRow.set(key, [...byRow.get(key) ?? [], counters]);
	}

	const {leftOut, notRead} = await readIntervals({...reading, since: at - burnWindows[budgetPeriod]}, interval => {
		countInterval(byRow, interval, at);
	});
	const objectives = allCounters.map(counters => toObjectiveBurn(counters)).toSorted((a, b) => severityOf(b) - severityOf(a));
	const [worst] = objectives;
	return {
		at,
		version,
		objectives,
		...(worst !== undefined && severityOf(worst) > 0 && {worstServed: {workspace: worst.workspace, service: worst.service, objective: worst.objective}}),
		leftOut,
		notRead,
	};
}

function createAllCounters(document: FleetDocument): ObjectiveCounters[] {
	const allCounters: ObjectiveCounters[] = [];
	for (const workspace of document.workspaces) {
		for (const objective of workspace.objectives) {
			for (const kind of ['availability', 'first_token', 'wrongful_refusals'] as const) {
				const allowed = objectiveKinds[kind].allowed(objective);
				if (allowed !== undefined) {
					allCounters.push(createObjectiveCounters(workspace.name, objective, kind, allowed));
				}
			}
		}
	}

	return allCounters;
}

function createObjectiveCounters(workspace: string, objective: Objective, kind: ObjectiveKind, allowed: number): ObjectiveCounters {
	const zero = () => ({total: 0, broken: 0});
	return {
		workspace,
		service: objective.service,
		kind,
		allowed,
		objective,
		windows: {'1h': zero(), '6h': zero(), '3d': zero()},
		causes: {},
		hours: Array.from({length: burnWindows[budgetPeriod] / hourMs}, zero),
	};
}

function countInterval(byRow: ReadonlyMap<string, ObjectiveCounters[]>, interval: ServiceLevelInterval, at: number): void {
	for (const row of interval.rows) {
		for (const counters of byRow.get(rowKey(row.workspace, row.service)) ?? []) {
			countRow(counters, row, interval.to, at);
		}
	}
}

/** Assigns an interval to windows and hours by its end time; windows are accurate to one merged span. */
function countRow(counters: ObjectiveCounters, row: ServiceLevelRow, to: number, at: number): void {
	const tally: Tally = objectiveKinds[counters.kind].tally(row, counters.objective);
	let broken = 0;
	for (const [cause, requests] of Object.entries(tally.causes)) {
		broken += requests;
		counters.causes[cause] = (counters.causes[cause] ?? 0) + requests;
	}

	const hoursAgo = Math.max(0, Math.floor((at - to) / hourMs));
	const buckets = [counters.hours.at(-1 - hoursAgo)];
	for (const [name, ms] of windowEntries) {
		if (to > at - ms) {
			buckets.push(counters.windows[name]);
		}
	}

	for (const bucket of buckets) {
		if (bucket !== undefined) {
			bucket.total += tally.total;
			bucket.broken += broken;
		}
	}
}

function toObjectiveBurn(counters: ObjectiveCounters): ObjectiveBurn {
	const {workspace, service, kind, allowed} = counters;
	const burnOf = ({total, broken}: {total: number; broken: number}): number | null => total === 0 ? null : broken / total / allowed;
	const toWindowBurn = (window: {total: number; broken: number}): WindowBurn => ({...window, burn: burnOf(window)});
	const periodBurn = burnOf(counters.windows[budgetPeriod]);
	return {
		workspace,
		service,
		objective: kind,
		allowed,
		windows: {'1h': toWindowBurn(counters.windows['1h']), '6h': toWindowBurn(counters.windows['6h']), '3d': toWindowBurn(counters.windows['3d'])},
		budgetLeft: periodBurn === null ? null : 1 - periodBurn,
		causes: Object.entries(counters.causes)
			.filter(([, requests]) => requests > 0)
			.map(([cause, requests]) => ({cause, requests}))
			.toSorted((a, b) => b.requests - a.requests),
		hours: counters.hours.map(hour => burnOf(hour)),
	};
}

const severityOf = (burn: ObjectiveBurn): number => (burn.windows['6h'].burn ?? 0) + ((burn.windows['3d'].burn ?? 0) / 1000);

/** Burn rate at which the 1 h and 6 h windows together raise an alert that needs immediate action. */
export const fastBurnRate = 14.4;

/**
 * Reports burn rates as metrics, for alerts. Workspace and service are tags;
 * objective and window are part of the name.
 */
export function reportBurnMetrics(report: BurnReport, metrics: Metrics): void {
	for (const {workspace, service, objective, windows, budgetLeft} of report.objectives) {
		const tags = {workspace, service};
		for (const [name] of windowEntries) {
			metrics.gauge(`burn.${objective}.${name}`, windows[name].burn ?? 0, tags);
		}

		metrics.gauge(`budget_left.${objective}`, budgetLeft ?? 1, tags);
		const isFast = (windows['1h'].burn ?? 0) >= fastBurnRate && (windows['6h'].burn ?? 0) >= fastBurnRate;
		metrics.gauge(`burn_alert.${objective}`, isFast ? 1 : 0, tags);
	}
}
