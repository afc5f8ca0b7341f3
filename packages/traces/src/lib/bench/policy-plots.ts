/** Renders the plots of the policy benchmark as SVG, with vega. */
import * as vega from 'vega';
import {type PolicyResult} from './policy-table.js';

type Plot = {
	measure: 'hit_rate_of_best' | 'ttft_p99_ms' | 'ttft_p99_worst_workspace_ms';
	title: string;
	scale: 'linear' | 'log';
};

const plots: readonly Plot[] = [
	{measure: 'hit_rate_of_best', title: 'Prefix hit rate, share of the best possible', scale: 'linear'},
	{measure: 'ttft_p99_ms', title: 'Time to first token, p99, ms (logarithmic)', scale: 'log'},
	{measure: 'ttft_p99_worst_workspace_ms', title: 'The same for the worst workspace', scale: 'log'},
];

const groupWidth = 110;
const logScaleMin = 10;

const heightScales: Record<Plot['scale'], vega.Scale> = {
	linear: {
		name: 'y', type: 'linear', domain: {data: 'results', field: 'value'}, range: 'height', nice: true, zero: true,
	},
	log: {
		name: 'y', type: 'log', domain: {data: 'results', field: 'value'}, range: 'height', nice: true, domainMin: logScaleMin,
	},
};

const specOf = (plot: Plot, results: readonly PolicyResult[]): vega.Spec => {
	const traces = [...new Set(results.map(result => result.trace))];
	return {
		width: groupWidth * traces.length,
		height: 240,
		padding: 8,
		background: 'white',
		title: plot.title,
		data: [{name: 'results', values: results.map(result => ({trace: result.trace, policy: result.policy, value: result[plot.measure]}))}],
		scales: [
			{
				name: 'x', type: 'band', domain: traces, range: 'width', padding: 0.15,
			},
			heightScales[plot.scale],
			{
				name: 'color', type: 'ordinal', domain: {data: 'results', field: 'policy'}, range: {scheme: 'category10'},
			},
		],
		axes: [{orient: 'bottom', scale: 'x'}, {orient: 'left', scale: 'y', grid: true}],
		legends: [{fill: 'color', title: 'Policy'}],
		marks: [{
			type: 'group',
			from: {facet: {data: 'results', name: 'one', groupby: 'trace'}},
			encode: {enter: {x: {scale: 'x', field: 'trace'}}},
			signals: [{name: 'width', update: 'bandwidth("x")'}],
			scales: [{
				name: 'inner', type: 'band', domain: {data: 'one', field: 'policy'}, range: 'width',
			}],
			marks: [{
				type: 'rect',
				from: {data: 'one'},
				encode: {
					enter: {
						x: {scale: 'inner', field: 'policy'},
						width: {scale: 'inner', band: 1},
						y: {scale: 'y', field: 'value'},
						y2: plot.scale === 'log' ? {signal: 'height'} : {scale: 'y', value: 0},
						fill: {scale: 'color', field: 'policy'},
					},
				},
			}],
		}],
	};
};

/** Renders all plots; returns pairs of file name, without extension, and SVG. */
export const plotPolicies = async (results: readonly PolicyResult[]): Promise<Array<[string, string]>> => {
	const rendered: Array<[string, string]> = [];
	for (const plot of plots) {
		const view = new vega.View(vega.parse(specOf(plot, results)), {renderer: 'none'});
		rendered.push([`policy-${plot.measure.replaceAll('_', '-')}`, await view.toSVG()]);
		view.finalize();
	}

	return rendered;
};
