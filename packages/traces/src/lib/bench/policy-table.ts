/** Formats the results of the policy benchmark as a table, and compares them with the goals. */
import {type Measures} from '../replay/measures.js';
import {type PolicyName} from '../replay/policies.js';

/** Result of one trace replayed with one policy. */
export type PolicyResult = Measures & {trace: string; policy: PolicyName};

const productPolicy: PolicyName = 'hickorywalk';

/** Measures on which no baseline may be better by more than `margin`, with the better direction. */
const compared = {
	hit_rate: 'higher',
	ttft_p50_ms: 'lower',
	ttft_p95_ms: 'lower',
	ttft_p99_ms: 'lower',
	ttft_p99_worst_workspace_ms: 'lower',
	wasted_tokens: 'lower',
	worst_workspace_ratio: 'lower',
	wrongful_refusals: 'lower',
} as const satisfies Partial<Record<keyof Measures, 'higher' | 'lower'>>;

const margin = 1.03;
const leastHitRateOfBest = 0.95;

type Compared = keyof typeof compared;

const isBetter = (measure: Compared, other: number, own: number): boolean =>
	compared[measure] === 'higher' ? other > own * margin : other * margin < own;

const rowOf = (result: PolicyResult): string => [
	result.trace,
	result.policy,
	result.hit_rate.toFixed(3),
	result.hit_rate_of_best.toFixed(3),
	result.ttft_p50_ms.toFixed(0),
	result.ttft_p95_ms.toFixed(0),
	result.ttft_p99_ms.toFixed(0),
	result.ttft_p99_worst_workspace_ms.toFixed(0),
	`${(100 * result.wasted_share).toFixed(1)}%`,
	result.worst_workspace_ratio.toFixed(2),
	result.wrongful_refusals,
].join(' | ');

/** Lists the measures on which a baseline is better than the product by more than `margin`. */
const listLosses = (own: PolicyResult, others: readonly PolicyResult[]): string[] => {
	const losses: string[] = [];
	for (const other of others) {
		for (const measure of Object.keys(compared) as Compared[]) {
			if (isBetter(measure, other[measure], own[measure])) {
				losses.push(`${measure} of ${other.policy}: ${other[measure]} against ${own[measure]}`);
			}
		}
	}

	return losses;
};

const goalsOf = (own: PolicyResult, others: readonly PolicyResult[]): string[] => {
	const tails = others.map(other => other.ttft_p99_ms);
	const lines = [`- ${own.trace}: hit rate ${own.hit_rate_of_best.toFixed(3)} of best (${own.hit_rate_of_best >= leastHitRateOfBest ? 'met' : 'missed'}).`];
	if (tails.length > 0) {
		lines.push(`  p99 to first token ${(own.ttft_p99_ms / Math.min(...tails)).toFixed(2)} of the best baseline's.`);
	}

	for (const loss of listLosses(own, others)) {
		lines.push(`  Behind by more than 3%: ${loss}.`);
	}

	return lines;
};

/** Formats the table in Markdown, with the goals below it. */
export const formatPolicyTable = (results: readonly PolicyResult[]): string => {
	const lines = [
		'| trace | policy | hit rate | of best | p50 ms | p95 ms | p99 ms | p99 of worst workspace, ms | wasted | worst / median | refusals |',
		'|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|',
		...results.map(result => `| ${rowOf(result)} |`),
		'',
		'Goals: hit rate at least 0.95 of the best possible; p99 to first token on the evening trace at most 0.50 of the best baseline\'s; no baseline better by more than 3% on any measure.',
		'',
	];
	for (const own of results.filter(result => result.policy === productPolicy)) {
		lines.push(...goalsOf(own, results.filter(other => other.trace === own.trace && other.policy !== productPolicy)));
	}

	return `${lines.join('\n')}\n`;
};
