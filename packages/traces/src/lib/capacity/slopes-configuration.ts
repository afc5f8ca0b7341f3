/** Slopes of the configuration document. */
import {
	answerRequest, applyDelta, createKeyRing, createStepHistory, deltaTo, emptySectionSet, parseDocument, type FleetDocument, type SectionSet,
} from 'hickorywalk/configuration.js';
import {bodySize} from 'hickorywalk/links.js';
import {doublings, type SlopeDefinition} from './measure.js';
import {createFleet, keyOf} from './sample-fleet.js';

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

function setOf(document: FleetDocument): SectionSet {
	return applyDelta(emptySectionSet, deltaTo(emptySectionSet, document));
}

/** Bytes that carry one change of some workspaces to one daemon. */
function changeBytes(workspaces: number): number {
	const before = setOf(createFleet(1200, 10));
	const next = structuredClone(before.document);
	for (const workspace of next.workspaces.slice(0, workspaces)) {
		workspace.tokensPerSecond++;
	}

	const delta = deltaTo(before, next);
	const steps = createStepHistory();
	steps.add({fromVersion: 1, version: 2, delta});
	const parts = answerRequest(1, {version: 2, set: applyDelta(before, delta)}, steps);
	return parts.reduce((sum, value) => sum + bodySize({case: 'configurationSections', value}), 0);
}

const changeSlopes: SlopeDefinition[] = [
	...definePair('apply a change of one workspace', 'us', (workspaces, endpoints) => {
		const before = setOf(createFleet(workspaces, endpoints));
		const next = structuredClone(before.document);
		next.workspaces[0].tokensPerSecond++;
		const delta = deltaTo(before, next);
		return {
			kind: 'time',
			work() {
				applyDelta(before, delta);
			},
		};
	}),
	...definePair('sections and document held', 'bytes', (workspaces, endpoints) => {
		const text = JSON.stringify(createFleet(workspaces, endpoints));
		return {kind: 'heap', build: () => setOf(parseDocument(JSON.parse(text)))};
	}),
	...definePair('two versions held', 'bytes', (workspaces, endpoints) => {
		const text = JSON.stringify(createFleet(workspaces, endpoints));
		return {
			kind: 'heap',
			build() {
				const before = setOf(parseDocument(JSON.parse(text)));
				const next = structuredClone(before.document);
				next.workspaces[0].tokensPerSecond++;
				return [before, applyDelta(before, deltaTo(before, next))];
			},
		};
	}),
	{
		role: 'configuration', cost: 'message of a change', per: 'changed workspace', unit: 'bytes', sizes: doublings(1), measure: size => ({kind: 'value', value: changeBytes(size)}),
	},
	{
		role: 'keys',
		cost: 'build the ring',
		per: 'key',
		unit: 'us',
		sizes: workspaceSizes,
		measure(size) {
			const document = createFleet(size, 10);
			return {
				kind: 'time',
				work() {
					createKeyRing({current: () => ({version: 1, document}), mayServe: () => true}).authenticate('none');
				},
			};
		},
	},
	{
		role: 'keys',
		cost: 'look up',
		per: 'request',
		unit: 'us',
		sizes: doublings(500),
		measure(size) {
			const accepted = {version: 1, document: createFleet(1200, 10)};
			const ring = createKeyRing({current: () => accepted, mayServe: () => true});
			return {
				kind: 'time',
				work() {
					for (let index = 0; index < size; index++) {
						ring.authenticate(keyOf(index % 1200));
					}
				},
			};
		},
	},
	{
		role: 'keys',
		cost: 'ring held',
		per: 'key',
		unit: 'bytes',
		sizes: workspaceSizes,
		measure(size) {
			const accepted = {version: 1, document: createFleet(size, 10)};
			return {
				kind: 'heap',
				build() {
					const ring = createKeyRing({current: () => accepted, mayServe: () => true});
					ring.authenticate('none');
					return ring;
				},
			};
		},
	},
];

export const configurationSlopes: SlopeDefinition[] = [
	...changeSlopes,
	...definePair('JSON of the document', 'bytes', (workspaces, endpoints) => ({kind: 'value', value: JSON.stringify(createFleet(workspaces, endpoints)).length})),
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
