/** Computes the measures of a replay. */
import {type BestPossible} from './best-possible.js';

/** Result of one request of a trace. */
export type RequestResult = {
	workspace: string;
	/** Milliseconds from the caller's request to the first token; absent when refused. */
	firstTokenMs?: number;
};

/** Results and sums that a replay collects. */
export type Totals = {
	results: RequestResult[];
	cachedTokens: number;
	computedTokens: number;
	refusals: number;
	attempts: number;
};

/** The measures, named as the benchmark prints them. */
export type Measures = {
	hit_rate: number;
	hit_rate_of_best: number;
	ttft_p50_ms: number;
	ttft_p95_ms: number;
	ttft_p99_ms: number;
	ttft_p99_worst_workspace_ms: number;
	/** Prompt tokens computed in excess of those that the best possible cache computes. */
	wasted_tokens: number;
	/** `wasted_tokens` as a share of all prompt tokens. */
	wasted_share: number;
	/** P99 time to first token of the worst workspace, divided by that of the median workspace. */
	worst_workspace_ratio: number;
	/** Requests refused or given up; a replay has no rate limits, so every refusal is wrongful. */
	wrongful_refusals: number;
	attempts: number;
};

/** Smallest value that at least `share` of the sorted values don't exceed. */
const quantile = (sorted: readonly number[], share: number): number =>
	sorted.length === 0 ? 0 : sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)];

const sortedTimes = (results: readonly RequestResult[]): number[] =>
	results.flatMap(result => result.firstTokenMs ?? []).toSorted((a, b) => a - b);

const round = (value: number, digits: number): number => Number(value.toFixed(digits));

const tailsOfWorkspaces = (results: readonly RequestResult[]): number[] => {
	const groups = new Map<string, RequestResult[]>();
	for (const result of results) {
		const group = groups.get(result.workspace) ?? [];
		group.push(result);
		groups.set(result.workspace, group);
	}

	return [...groups.values()].map(group => quantile(sortedTimes(group), 0.99)).toSorted((a, b) => a - b);
};

/** Computes the measures from the totals and the best possible result. */
export const measure = (totals: Totals, best: BestPossible): Measures => {
	const times = sortedTimes(totals.results);
	const tails = tailsOfWorkspaces(totals.results);
	const promptTokens = totals.cachedTokens + totals.computedTokens;
	const hitRate = totals.cachedTokens / promptTokens;
	const wasted = Math.max(0, totals.computedTokens - best.computedTokens);
	return {
		hit_rate: round(hitRate, 4),
		hit_rate_of_best: round(hitRate / best.hitRate, 4),
		ttft_p50_ms: round(quantile(times, 0.5), 1),
		ttft_p95_ms: round(quantile(times, 0.95), 1),
		ttft_p99_ms: round(quantile(times, 0.99), 1),
		ttft_p99_worst_workspace_ms: round(tails.at(-1) ?? 0, 1),
		wasted_tokens: wasted,
		wasted_share: round(wasted / promptTokens, 4),
		worst_workspace_ratio: round((tails.at(-1) ?? 0) / quantile(tails, 0.5), 2),
		wrongful_refusals: totals.refusals,
		attempts: totals.attempts,
	};
};
