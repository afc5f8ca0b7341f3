/**
 * Renders the burn report as one HTML file with inline plots. It contains no
 * script and loads no resources, so it can be mailed and archived.
 */
import * as vega from 'vega';
import {type BurnReport, formatBurnText, type ObjectiveBurn} from 'hickorywalk/observability.js';

/** Number of objectives with a plot; the table lists all of them. */
const mostPlots = 8;

/** Renders the report. All names are escaped for HTML. */
export async function renderBurnPage(report: BurnReport): Promise<string> {
	const sections: string[] = [];
	for (const burn of report.objectives.slice(0, mostPlots)) {
		const title = `${burn.workspace}, ${burn.service}: ${burn.objective}`;
		sections.push(`<section><h2>${escapeHtml(title)}</h2>${await renderPlot(burn)}</section>`);
	}

	return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}pre{overflow-x:auto}</style>
</head>
<body>
<h1>Service-level burn</h1>
<pre>${escapeHtml(formatBurnText(report))}</pre>
${sections.join('\n')}
</body>
</html>
`;
}

/** Renders burn by hour over the period as SVG; the line at 1 marks the burn that the error budget allows. */
export async function renderPlot(burn: ObjectiveBurn): Promise<string> {
	const {length} = burn.hours;
	const values = burn.hours.flatMap((value, index) => value === null ? [] : [{hour: index + 1 - length, burn: value}]);
	const view = new vega.View(vega.parse(plotOf(values, length)), {renderer: 'none'});
	const svg = await view.toSVG();
	view.finalize();
	return svg;
}

function plotOf(values: Array<{hour: number; burn: number}>, hours: number): vega.Spec {
	return {
		width: 640,
		height: 160,
		padding: 5,
		data: [{name: 'burn', values}],
		scales: [
			{
				name: 'x', type: 'linear', domain: [1 - hours, 0], range: 'width',
			},
			{
				name: 'y', type: 'linear', domain: [0, Math.max(2, ...values.map(value => value.burn))], nice: true, range: 'height',
			},
		],
		axes: [
			{orient: 'bottom', scale: 'x', title: 'hours ago (0 is now)'},
			{orient: 'left', scale: 'y', title: 'burn'},
		],
		marks: [
			{
				type: 'rect',
				from: {data: 'burn'},
				encode: {
					enter: {
						x: {scale: 'x', field: 'hour', offset: -3},
						width: {value: 6},
						y: {scale: 'y', field: 'burn'},
						y2: {scale: 'y', value: 0},
						fill: {value: '#4c78a8'},
					},
				},
			},
			{
				type: 'rule',
				encode: {
					enter: {
						x: {value: 0}, x2: {signal: 'width'}, y: {scale: 'y', value: 1}, stroke: {value: '#c33'},
					},
				},
			},
		],
	};
}

const entities: Record<string, string> = {
	'&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', '\'': '&#39;',
};

/** Escapes text for HTML content and quoted attributes. */
export function escapeHtml(text: string): string {
	return text.replaceAll(/[&<>"']/gv, character => entities[character]);
}
