/** Documents of any size, for measuring. */
import {createHash} from 'node:crypto';
import {type FleetDocument, parseDocument} from 'hickorywalk/configuration.js';

const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex');

/** The key that {@link createFleet} gives a workspace. */
export const keyOf = (workspace: number): string => `hw-key-${workspace}`;

export const workspaceName = (index: number): string => `workspace-${index}`;
export const endpointName = (index: number): string => `endpoint-${index}`;

/** A fleet with one key and one objective for each workspace, and ten models. */
export function createFleet(workspaces: number, endpoints: number): FleetDocument {
	const services = Array.from({length: 10}, (_, index) => `model-${index}`);
	return parseDocument({
		layout: 1,
		dataCentres: Array.from({length: 23}, (_, index) => ({name: `dc-${index}`, region: `region-${index % 6}`})),
		workspaces: Array.from({length: workspaces}, (_, index) => ({
			name: workspaceName(index),
			keys: [{id: `key-${index}`, digest: digestOf(keyOf(index))}],
			tokensPerSecond: 10_000,
			burstTokens: 100_000,
			services: [services[index % 10], services[(index + 1) % 10]],
			objectives: [{
				service: services[index % 10], availability: 0.999, firstTokenMs: 640, firstTokenShare: 0.95,
			}],
		})),
		services: services.map(name => ({
			kind: 'model', name, model: name, version: 'v1',
		})),
		endpoints: Array.from({length: endpoints}, (_, index) => ({
			name: endpointName(index), service: services[index % 10], vm: `vm-${index}`, dataCentre: `dc-${index % 23}`, address: `http://10.0.${Math.floor(index / 250)}.${index % 250}:8000`,
		})),
	});
}
