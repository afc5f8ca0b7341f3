/** Formats the burn report as plain text for terminals. */
import {type BurnReport, type ObjectiveBurn} from './burn-report.js';

const columns = ['workspace', 'service', 'objective', 'left', '1h', '6h', '3d', 'burned by'];

/** Formats a report as a table under a header line and a line on data that is not counted. */
export function formatBurnText(report: BurnReport): string {
	const rows = [columns, ...report.objectives.map(burn => formatRow(burn))];
	const widths = columns.map((_, column) => Math.max(...rows.map(row => row[column].length)));
	const table = rows.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd());
	return [formatHeader(report), formatOmissions(report), '', ...table, ''].join('\n');
}

function formatHeader({at, version, worstServed}: BurnReport): string {
	const worst = worstServed === undefined ? 'no objective burns' : `worst served: ${worstServed.workspace} on ${worstServed.service} (${worstServed.objective})`;
	return `Service levels at ${new Date(at).toISOString()}, configuration ${version}; ${worst}.`;
}

function formatOmissions({leftOut, notRead}: BurnReport): string {
	if (leftOut + notRead === 0) {
		return 'Every interval that the store has is counted.';
	}

	return `Not counted: ${notRead} newest intervals that are not merged yet, ${leftOut} objects that can not be read or overlap.`;
}

function formatRow(burn: ObjectiveBurn): string[] {
	const causes = burn.causes.map(({cause, requests}) => `${cause} ${requests}`).join(', ');
	return [
		burn.workspace,
		burn.service,
		burn.objective,
		burn.budgetLeft === null ? 'no requests' : `${(burn.budgetLeft * 100).toFixed(1)}%`,
		...(['1h', '6h', '3d'] as const).map(name => formatBurn(burn.windows[name].burn)),
		causes,
	];
}

const formatBurn = (burn: number | null): string => burn === null ? '-' : burn.toFixed(2);
