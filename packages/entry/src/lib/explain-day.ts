/**
 * Summarizes requests from the logs of all daemons: their results, the time to the first byte
 * of their answers, and its ratio to the time that the endpoint choice expected. Grouped by
 * route, by workspace and by interval of arrival.
 */
import {isRequestEnd, type LogLine, parseLogLine} from './log-line.js';

/** Statistics of a group of requests; `ratios` are actual to expected times to the first byte. */
type Group = {name: string; requests: number; results: Map<string, number>; firstMs: number[]; ratios: number[]};

/** Interval length in milliseconds; a usual fleet handles some hundred requests in it. */
const intervalMs = 2000;

/** Number of listed intervals: those with the most unanswered or late requests. */
const maxIntervals = 12;

/** An answer counts as late if its first byte takes longer than this multiple of the route's median; logs don't hold target times. */
const lateFactor = 3;

const answered = 'answered';

/** Results that are not failures of the router: the caller had no key or route, sent too much, or disconnected. */
const callerCausedResults: ReadonlySet<string> = new Set(['no_key', 'no_route', 'too_large', 'caller_left']);

type EndedRequest = {at: number; path: string; workspace: string; result: string; firstMs: number | undefined; expectedMs: number | undefined};

function toEndedRequest(line: LogLine): EndedRequest | undefined {
	if (!isRequestEnd(line)) {
		return undefined;
	}

	const {time, context} = line;
	const {path = 'none', workspace = 'none', result = 'none', ms = 0, firstMs, expectedMs} = context;
	return {
		at: time - Number(ms),
		path: String(path),
		workspace: String(workspace),
		result: String(result),
		firstMs: firstMs === undefined ? undefined : Number(firstMs),
		expectedMs: expectedMs === undefined ? undefined : Number(expectedMs),
	};
}

/** Returns the quantiles at `shares`; `undefined` if there are no values. */
function quantiles(values: readonly number[], shares: readonly number[]): Array<number | undefined> {
	const sorted = values.toSorted((a, b) => a - b);
	return shares.map(share => sorted.at(Math.min(sorted.length - 1, Math.floor(sorted.length * share))));
}

const medianOf = (values: readonly number[]): number | undefined => quantiles(values, [0.5])[0];

function groupBy(ends: readonly EndedRequest[], nameOf: (end: EndedRequest) => string): Group[] {
	const groups = new Map<string, Group>();
	for (const end of ends) {
		const name = nameOf(end);
		const group: Group = groups.get(name) ?? {
			name, requests: 0, results: new Map(), firstMs: [], ratios: [],
		};
		groups.set(name, group);
		group.requests++;
		group.results.set(end.result, (group.results.get(end.result) ?? 0) + 1);
		if (end.result === answered && end.firstMs !== undefined) {
			group.firstMs.push(end.firstMs);
			if (end.expectedMs !== undefined && end.expectedMs > 0) {
				group.ratios.push(end.firstMs / end.expectedMs);
			}
		}
	}

	return [...groups.values()].toSorted((a, b) => b.requests - a.requests);
}

function formatGroup({name, requests, results, firstMs, ratios}: Group): string {
	const counts = [...results].toSorted(([, a], [, b]) => b - a).map(([result, count]) => `${result} ${count}`).join(', ');
	const times = quantiles(firstMs, [0.5, 0.9, 0.99]).map(ms => Math.round(ms ?? Number.NaN)).join(', ');
	const ratio = medianOf(ratios);
	return [
		`${name}: ${requests} requests; ${counts}`,
		...(firstMs.length > 0 ? [`first byte after ${times} ms (p50, p90, p99)`] : []),
		...(ratio === undefined ? [] : [`${ratio.toFixed(2)} times the expected time (median)`]),
	].join('; ');
}

/** Returns the intervals with the most late or unanswered requests, in order of time. */
function worstIntervals(ends: readonly EndedRequest[], begin: number, routes: readonly Group[]): string[] {
	const medianFirstMs = new Map(routes.map(({name, firstMs}) => [name, medianOf(firstMs) ?? Number.POSITIVE_INFINITY]));
	const intervals = new Map<number, {requests: number; late: number; unanswered: number}>();
	for (const {at, path, result, firstMs} of ends) {
		const interval = Math.floor((at - begin) / intervalMs);
		const sum = intervals.get(interval) ?? {requests: 0, late: 0, unanswered: 0};
		intervals.set(interval, sum);
		sum.requests++;
		sum.unanswered += result === answered || callerCausedResults.has(result) ? 0 : 1;
		sum.late += result === answered && (firstMs ?? 0) > medianFirstMs.get(path)! * lateFactor ? 1 : 0;
	}

	return [...intervals]
		.toSorted(([, a], [, b]) => (b.late + b.unanswered) - (a.late + a.unanswered))
		.slice(0, maxIntervals)
		.toSorted(([a], [b]) => a - b)
		.map(([interval, {requests, late, unanswered}]) => `${interval * intervalMs} ms: ${requests} requests; ${late} late; ${unanswered} not answered`);
}

/**
 * Returns the summary as lines of text; empty if no request ended.
 *
 * @param lines Log lines of any number of daemons, in any order.
 */
export function explainDay(lines: Iterable<string>): string[] {
	const ends: EndedRequest[] = [];
	for (const text of lines) {
		const line = parseLogLine(text);
		const end = line && toEndedRequest(line);
		if (end !== undefined) {
			ends.push(end);
		}
	}

	if (ends.length === 0) {
		return [];
	}

	const [{at: begin}] = ends.toSorted((a, b) => a.at - b.at);
	const routes = groupBy(ends, end => end.path);
	return [
		'By route',
		...routes.map(group => `  ${formatGroup(group)}`),
		'By workspace',
		...groupBy(ends, end => end.workspace).map(group => `  ${formatGroup(group)}`),
		`Intervals with the most late or unanswered requests, from ${new Date(begin).toISOString()}`,
		...worstIntervals(ends, begin, routes).map(text => `  ${text}`),
	];
}
