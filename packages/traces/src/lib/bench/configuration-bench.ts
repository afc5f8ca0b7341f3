/**
 * Measures the cost of one configuration change per daemon, for a document of
 * today's size and one of the target size: bytes on the wire in the real
 * encoding, and run time of the real code. Prints JSON lines.
 */
import {
	answerRequest, applyDelta, createStepHistory, deltaTo, emptySectionSet, type FleetDocument, type HeldConfiguration, parseDocument, type StepHistory,
} from 'hickorywalk/configuration.js';
import {bodySize} from 'hickorywalk/links.js';

type Size = {
	workspaces: number;
	services: number;
	endpoints: number;
	dataCentres: number;
	daemonsPerDataCentre: number;
};

const sizes: readonly Size[] = [
	{
		workspaces: 5, services: 2, endpoints: 17, dataCentres: 4, daemonsPerDataCentre: 3,
	},
	{
		workspaces: 1200, services: 10, endpoints: 12_000, dataCentres: 23, daemonsPerDataCentre: 29,
	},
];

const changesPerSecond = 13_000 / 86_400;
const rounds = 20;
const pollersPerDataCentre = 2;

export async function runConfigurationBench(): Promise<void> {
	for (const size of sizes) {
		console.log(JSON.stringify(measure(size)));
	}
}

function measure(size: Size): Record<string, number> {
	const before = applyDelta(emptySectionSet, deltaTo(emptySectionSet, buildDocument(size)));
	const steps = createStepHistory();
	let set = before;
	let bytesPerChange = 0;
	let applyMs = 0;
	for (let round = 0; round < rounds; round++) {
		const next = structuredClone(set.document);
		next.workspaces[round % next.workspaces.length].tokensPerSecond += 1;
		const delta = deltaTo(set, next);
		steps.add({fromVersion: round + 1, version: round + 2, delta});
		const startedAt = performance.now();
		set = applyDelta(set, delta);
		applyMs += (performance.now() - startedAt) / rounds;
		bytesPerChange += bytesOf(round + 1, {version: round + 2, set}, steps) / rounds;
	}

	return {
		workspaces: size.workspaces,
		endpoints: size.endpoints,
		whole_bytes: bytesOf(0, {version: 1, set: before}, createStepHistory()),
		bytes_per_change: bytesPerChange,
		bytes_per_daemon_per_s: bytesPerChange * changesPerSecond,
		bytes_per_poller_per_s: bytesPerChange * changesPerSecond * size.daemonsPerDataCentre / pollersPerDataCentre,
		apply_ms: applyMs,
		cpu_share: applyMs / 1000 * changesPerSecond,
	};
}

function bytesOf(heldVersion: number, held: HeldConfiguration, steps: StepHistory): number {
	const parts = answerRequest(heldVersion, held, steps);
	return parts.reduce((sum, value) => sum + bodySize({case: 'configurationSections', value}), 0);
}

function list<Item>(length: number, make: (index: number) => Item): Item[] {
	return Array.from({length}, (_, index) => make(index));
}

function buildDocument(size: Size): FleetDocument {
	return parseDocument({
		layout: 1,
		dataCentres: list(size.dataCentres, index => ({name: `dc-${index}`, region: `region-${index % 6}`})),
		workspaces: list(size.workspaces, index => ({
			name: `workspace-${index}`,
			tokensPerSecond: 1000,
			burstTokens: 20_000,
			services: ['service-0', 'service-1'],
			keys: list(3, key => ({id: `key-${index}-${key}`, digest: String((index * 3) + key).padStart(64, '0')})),
			objectives: [{
				service: 'service-0', availability: 0.999, firstTokenMs: 640, firstTokenShare: 0.95,
			}],
		})),
		services: list(size.services, index => ({
			kind: 'model', name: `service-${index}`, model: `model-${index}`, version: 'v1',
		})),
		endpoints: list(size.endpoints, index => ({
			name: `endpoint-${index}`,
			service: `service-${index % size.services}`,
			vm: `vm-${index}`,
			dataCentre: `dc-${index % size.dataCentres}`,
			address: `http://10.0.0.1:${9000 + index}`,
		})),
	});
}
