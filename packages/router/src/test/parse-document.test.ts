import {assert} from 'chai';
import {DocumentInvalidError, DocumentTooNewError, parseDocument} from '../configuration.js';

const document = {
	layout: 1,
	dataCentres: [{name: 'hobart-a', region: 'tasmania'}],
	workspaces: [{
		name: 'school-1', tokensPerSecond: 1000, burstTokens: 20_000, services: ['wordsmith'],
	}],
	services: [{
		kind: 'model', name: 'wordsmith', model: 'wordsmith', version: 'w1',
	}],
	endpoints: [{
		name: 'ws-1', service: 'wordsmith', vm: 'vm-1', dataCentre: 'hobart-a', address: 'http://127.0.0.1:9001',
	}],
};

describe('parseDocument', () => {
	it('fills in the defaults of a valid document', () => {
		const parsed = parseDocument(document);
		assert.equal(parsed.workspaces[0].weight, 1);
		assert.equal(parsed.endpoints[0].checksFencing, false);
	});

	it('reports the field of every fault', () => {
		const broken = structuredClone(document);
		broken.workspaces[0].services = ['no-such-service'];
		broken.endpoints[0].dataCentre = 'nowhere';
		try {
			parseDocument(broken);
			assert.fail('the document was accepted');
		} catch (error) {
			assert.instanceOf(error, DocumentInvalidError);
			assert.deepEqual(error.faults.map(fault => fault.path), ['workspaces[0].services[0]', 'endpoints[0].dataCentre']);
		}
	});

	it('refuses a newer layout before it validates any field', () => {
		assert.throws(() => parseDocument({layout: 99, news: true}), DocumentTooNewError);
	});
});
