/** Makes the tables of docs/CAPACITY.md anew from measured slopes. */
import {readFile, writeFile} from 'node:fs/promises';
import os from 'node:os';
import process from 'node:process';
import {
	type CapacityRow, controlRows, dataPathRows, telemetryRows,
} from './capacity-rows.js';
import {type Slope} from './measure.js';
import {createSlopeTable, type SlopeTable} from './slope-table.js';
import {controlBudget} from './target-size.js';

const pageUrl = new URL('../../../../../docs/CAPACITY.md', import.meta.url);

/** Replaces what stands between the marks of each table. */
export async function writeCapacityPage(slopes: readonly Slope[], baseBytes: number): Promise<void> {
	const table = createSlopeTable(slopes);
	let page = await readFile(pageUrl, 'utf8');
	page = replaceBetween(page, 'run', formatRun(baseBytes));
	page = replaceBetween(page, 'slopes', formatSlopes(slopes));
	page = replaceBetween(page, 'control', `${formatRows(controlRows, table)}\n\n${formatVerdict(table)}`);
	page = replaceBetween(page, 'telemetry', formatRows(telemetryRows, table));
	page = replaceBetween(page, 'data-path', formatRows(dataPathRows, table));
	await writeFile(pageUrl, page);
}

/**
 * Replaces the text between `<!-- NAME -->` and `<!-- end of NAME -->`.
 *
 * @throws when a mark is missing: a table that is silently left alone would
 * show the figures of another run.
 */
export function replaceBetween(page: string, name: string, text: string): string {
	const begin = `<!-- ${name} -->\n`;
	const end = `<!-- end of ${name} -->`;
	const from = page.indexOf(begin);
	const to = page.indexOf(end);
	if (from === -1 || to < from) {
		throw new Error(`The page has no marks for "${name}"; put ${begin.trim()} and ${end} back.`);
	}

	return `${page.slice(0, from + begin.length)}\n${text}\n\n${page.slice(to)}`;
}

function formatRun(baseBytes: number): string {
	const time = new Date().toISOString().slice(0, 16).replace('T', ' ');
	const cores = os.cpus();
	const load = os.loadavg()[0].toFixed(1);
	const base = `A process that had loaded the libraries and done nothing was ${formatNumber(baseBytes / 1e6)} MB resident (the base).`;
	return `Run of ${time} UTC on ${cores.length} cores (${cores[0].model.trim()}), Node ${process.versions.node}; load average ${load} when it ended, other work included. ${base}`;
}

function formatSlopes(slopes: readonly Slope[]): string {
	return formatTable(
		['role', 'cost', 'per', 'slope', 'unit', 'at size 0', 'residual', 'sizes'],
		slopes.map(({role, cost, per, slope, unit, intercept, residual, points}) => [
			role, cost, per, formatNumber(slope), unit, formatNumber(intercept), `${(residual * 100).toFixed(1)}%`, `${points[0].size} to ${points.at(-1)?.size ?? 0}`,
		]),
	);
}

function formatRows(rows: readonly CapacityRow[], slopes: SlopeTable): string {
	return formatTable(
		['role', 'state', 'messages', 'core', 'memory', 'network', 'mechanism', 'basis'],
		rows.map(row => [
			row.role,
			row.state,
			row.messages,
			formatShare(row.coreShare(slopes)),
			`${formatNumber(row.memory(slopes) / 1e6)} MB`,
			`${formatNumber(row.bytesPerSecond(slopes) / 1000)} KB/s`,
			row.mechanism,
			row.basis,
		]),
	);
}

function formatVerdict(slopes: SlopeTable): string {
	const sum = (of: (row: CapacityRow) => number): number => controlRows.map(row => of(row)).reduce((total, value) => total + value, 0);
	const verdict = (isKept: boolean): string => isKept ? '**kept**' : '**missed**';
	const coreShare = sum(row => row.coreShare(slopes));
	const megabytes = sum(row => row.memory(slopes)) / 1e6;
	const bytes = sum(row => row.bytesPerSecond(slopes));
	return formatTable(
		['budget of control', 'allowed', 'sum of the rows above', 'verdict for these rows'],
		[
			['processor', formatShare(controlBudget.coreShare), formatShare(coreShare), verdict(coreShare <= controlBudget.coreShare)],
			['memory above the base', `${controlBudget.megabytes} MB`, `${formatNumber(megabytes)} MB`, verdict(megabytes <= controlBudget.megabytes)],
			['network', `${controlBudget.bytesPerSecond / 1000} KB/s`, `${formatNumber(bytes / 1000)} KB/s`, verdict(bytes <= controlBudget.bytesPerSecond)],
		],
	);
}

function formatTable(head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lines = [head, head.map(() => '---'), ...rows];
	return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}

const formatShare = (share: number): string => `${formatNumber(share * 100)}%`;

function formatNumber(value: number): string {
	if (value === 0) {
		return '0';
	}

	return Math.abs(value) >= 100 ? Math.round(value).toLocaleString('en-GB') : value.toPrecision(3);
}
