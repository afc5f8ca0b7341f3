/** A small valid document; the rate distinguishes versions. */
import {type FleetDocument, parseDocument} from '../../configuration.js';

export function sampleDocument(tokensPerSecond = 1000, digests: string[] = []): FleetDocument {
	return parseDocument({
		layout: 1,
		dataCentres: [{name: 'hobart-a', region: 'tasmania'}],
		workspaces: [
			{
				name: 'school-1', tokensPerSecond, burstTokens: 20_000, services: ['wordsmith'], keys: digests.map((digest, index) => ({id: `key-${index}`, digest})),
			},
			{
				name: 'school-2', tokensPerSecond: 500, burstTokens: 20_000, services: ['wordsmith'],
			},
		],
		services: [{
			kind: 'model', name: 'wordsmith', model: 'wordsmith', version: 'w1',
		}],
		endpoints: [{
			name: 'ws-1', service: 'wordsmith', vm: 'vm-1', dataCentre: 'hobart-a', address: 'http://127.0.0.1:9001',
		}],
	});
}
