import {assert} from 'chai';
import {type ConnectionState, createOpinionOn} from '../../paths.js';
import {endpointNamed} from './endpoint-named.js';

describe('createOpinionOn', () => {
	const names = Array.from({length: 13}, (_item, index) => `e${index}`);

	const opinionWith = async (stateOf: (name: string) => ConnectionState) => {
		const endpoints = names.map(name => endpointNamed(name));
		const opinionOn = createOpinionOn({
			checkConnection: async address => stateOf(endpoints.find(endpoint => endpoint.address === address)!.id),
			endpointsOf: () => endpoints,
			random: () => 0,
		});
		return opinionOn(endpoints[0]);
	};

	it('tells that an endpoint refuses connections although others have ended too', async () => {
		// Guards against crashes in quick succession that no daemon notices until the list tells.
		const ended = new Set(['e0', 'e1', 'e3', 'e4']);
		assert.equal(await opinionWith(name => ended.has(name) ? 'refused' : 'accepted'), 'refused');
	});

	it('can\'t tell an endpoint from its own path where hardly any other accepts connections', async () => {
		assert.equal(await opinionWith(name => name === 'e2' ? 'accepted' : 'refused'), 'unknown');
		assert.equal(await opinionWith(name => name === 'e0' ? 'refused' : 'silent'), 'unknown');
	});

	it('tells that an endpoint is reached, or can\'t be told', async () => {
		assert.equal(await opinionWith(() => 'accepted'), 'reached');
		assert.equal(await opinionWith(() => 'silent'), 'unknown');
	});
});
