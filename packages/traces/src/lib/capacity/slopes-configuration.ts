/** Slopes of the configuration document. */
import {parseDocument} from 'hickorywalk/configuration.js';
import {doublings, type SlopeDefinition} from './measure.js';
import {createFleet} from './sample-fleet.js';

const workspaceSizes = doublings(150);
const endpointSizes = doublings(750);

function definePair(cost: string, unit: SlopeDefinition['unit'], measure: (workspaces: number, endpoints: number) => ReturnType<SlopeDefinition['measure']>): SlopeDefinition[] {
	return [
		{
			role: 'configuration', cost, per: 'workspace', unit, sizes: workspaceSizes, measure: async size => measure(size, 10),
		},
		{
			role: 'configuration', cost, per: 'endpoint', unit, sizes: endpointSizes, measure: async size => measure(10, size),
		},
	];
}

export const configurationSlopes: SlopeDefinition[] = [
	...definePair('JSON of the document', 'bytes', (workspaces, endpoints) => ({kind: 'count', bytes: JSON.stringify(createFleet(workspaces, endpoints)).length})),
	...definePair('read and check the document', 'us', (workspaces, endpoints) => {
		const text = JSON.stringify(createFleet(workspaces, endpoints));
		return {
			kind: 'time',
			work() {
				parseDocument(JSON.parse(text));
			},
		};
	}),
	...definePair('document held', 'bytes', (workspaces, endpoints) => {
		const text = JSON.stringify(createFleet(workspaces, endpoints));
		return {kind: 'heap', build: () => parseDocument(JSON.parse(text))};
	}),
];
