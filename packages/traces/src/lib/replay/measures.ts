/** What a replay measures. */
import {type BestPossible} from './best-possible.js';

/** How one request of a trace fared. */
export type Served = {
	workspace: string;
	/** Milliseconds from the caller's request to the first token; absent when refused. */
	firstTokenMs?: number;
};

/** Everything that a replay adds up. */
export type Totals = {
	served: Served[];
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
	/** Prompt tokens computed beyond what the best possible cache computes. */
	wasted_tokens: number;
	/** The same as a share of all prompt tokens. */
	wasted_share: number;
	/** P99 of the worst-served workspace over the median workspace's. */
	worst_workspace_ratio: number;
	/** Requests refused or given up; a replay limits no rate, so none is rightful. */
	wrongful_refusals: number;
	attempts: number;
};

/** Smallest value that at least this share of the sorted values doesn't exceed. */
const quantile = (sorted: readonly number[], share: number): number =>
	sorted.length === 0 ? 0 : sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)];

const sortedTimes = (served: readonly Served[]): number[] =>
	served.flatMap(one => one.firstTokenMs ?? []).toSorted((a, b) => a - b);

const round = (value: number, digits: number): number => Number(value.toFixed(digits));

const tailsOfWorkspaces = (served: readonly Served[]): number[] => {
	const groups = new Map<string, Served[]>();
	for (const one of served) {
		const group = groups.get(one.workspace) ?? [];
		group.push(one);
		groups.set(one.workspace, group);
	}

	return [...groups.values()].map(group => quantile(sortedTimes(group), 0.99)).toSorted((a, b) => a - b);
};

/** Works the measures out. */
export const measure = (totals: Totals, best: BestPossible): Measures => {
	const times = sortedTimes(totals.served);
	const tails = tailsOfWorkspaces(totals.served);
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
