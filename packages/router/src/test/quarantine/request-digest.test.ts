import {createHash} from 'node:crypto';
import {assert} from 'chai';
import {shortDigest} from '../../lib/fleet/short-digest.js';
import {digestRequest, type RequestContent} from '../../lib/quarantine/request-digest.js';

const hashOf = (text: string) => createHash('sha256').update(text).digest();

const content: RequestContent = {
	workspace: 'school', method: 'POST', path: '/words/1', bodyHash: hashOf('a prompt'), parts: [{id: 'aa', tokens: 50}],
};

describe('digestRequest', () => {
	it('is equal for equal content', () => {
		assert.equal(digestRequest({...content, bodyHash: hashOf('a prompt')}), digestRequest(content));
	});

	it('of a request without prompt parts is that of earlier versions', () => {
		// Guards against refusals in the store that a new version doesn't recognize.
		assert.equal(digestRequest({...content, parts: []}), shortDigest([content.workspace!, content.method, content.path], content.bodyHash));
	});

	it('differs with each part of the content', () => {
		const others: Array<Partial<RequestContent>> = [
			{workspace: 'club'},
			{workspace: undefined},
			{method: 'PUT'},
			{path: '/words/2'},
			{bodyHash: hashOf('another prompt')},
			{bodyHash: undefined},
			{parts: []},
			{parts: [{id: 'ab', tokens: 50}]},
			{parts: [{id: 'aa', tokens: 51}]},
			{parts: [...content.parts, ...content.parts]},
		];
		const digests = [content, ...others.map(other => ({...content, ...other}))].map(item => digestRequest(item));
		assert.lengthOf(new Set(digests), digests.length);
	});
});
