import {Buffer} from 'node:buffer';
import {assert} from 'chai';
import fc from 'fast-check';
import {
	createPromptHasher, estimatePromptTokens, pieceBytesOf, type CacheIdentity, type PromptHasher,
} from '../../routing.js';

const identity: CacheIdentity = {
	workspace: 'school-1', model: 'wordsmith', version: 'w1', adapter: '',
};

describe('prompt pieces', () => {
	let hasher: PromptHasher;

	before(async () => {
		hasher = await createPromptHasher();
	});

	it('hashes whole pieces only', () => {
		assert.lengthOf(hasher.hash(identity, 'a'.repeat(31), 16), 1);
		assert.lengthOf(hasher.hash(identity, 'a'.repeat(32), 16), 2);
		assert.lengthOf(hasher.hash(identity, '', 16), 0);
	});

	it('hashes a string and its UTF-8 bytes alike, and counts bytes of UTF-8', () => {
		const text = '記録'.repeat(20);
		assert.deepEqual(hasher.hash(identity, text, 12), hasher.hash(identity, new TextEncoder().encode(text), 12));
		assert.equal(pieceBytesOf({pieceTokens: 1024, bytesPerToken: 4}), 4096);
		assert.equal(estimatePromptTokens(4097, 4), 1025);
	});

	it('gives two prompts equal hashes for exactly the whole pieces of their common prefix', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 80}), fc.uint8Array({maxLength: 40}), fc.uint8Array({maxLength: 40}), fc.integer({min: 1, max: 12}), (shared, left, right, pieceBytes) => {
			const a = new Uint8Array([...shared, ...left]);
			const b = new Uint8Array([...shared, ...right]);
			const hashesOfA = hasher.hash(identity, a, pieceBytes);
			const hashesOfB = hasher.hash(identity, b, pieceBytes);
			for (const [index, hash] of hashesOfA.entries()) {
				const end = (index + 1) * pieceBytes;
				const equal = end <= b.length && Buffer.compare(a.subarray(0, end), b.subarray(0, end)) === 0;
				assert.equal(hashesOfB[index] === hash, equal);
			}
		}), {seed: 1, numRuns: 300});
	});

	/*
	 * If two identities shared a hash, a prompt of one would be placed and credited
	 * by what the other has cached, so that an answer could come from another
	 * workspace's or an older version's cache.
	 */
	it('gives different workspaces, models, versions and adapters different hashes', () => {
		const part = fc.string({maxLength: 6});
		const identities = fc.record({
			workspace: part, model: part, version: part, adapter: part,
		});
		fc.assert(fc.property(identities, identities, fc.uint8Array({minLength: 16, maxLength: 64}), (one, other, prompt) => {
			fc.pre(JSON.stringify(one) !== JSON.stringify(other));
			const hashes = new Set(hasher.hash(one, prompt, 16));
			assert.isFalse(hasher.hash(other, prompt, 16).some(hash => hashes.has(hash)));
		}), {seed: 1, numRuns: 300});
		for (const change of [{workspace: 'school-2'}, {model: 'shoki-lm'}, {version: 'w2'}, {adapter: 'ribbons'}]) {
			const hashes = new Set(hasher.hash(identity, 'a'.repeat(64), 16));
			assert.isFalse(hasher.hash({...identity, ...change}, 'a'.repeat(64), 16).some(hash => hashes.has(hash)));
		}
	});

	it('distinguishes identities whose concatenated fields are equal', () => {
		const prompt = 'a'.repeat(16);
		assert.notDeepEqual(
			hasher.hash({...identity, workspace: 'a', model: 'bc'}, prompt, 16),
			hasher.hash({...identity, workspace: 'ab', model: 'c'}, prompt, 16),
		);
	});
});
