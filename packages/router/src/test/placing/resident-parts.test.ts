import {assert} from 'chai';
import fc from 'fast-check';
import {
	createResidentParts, type EngineWeights, type Placement, type PromptNeed,
} from '../../placing.js';

const memoryTokens = 40_000;

const engine = (id: string, weights = 1): EngineWeights => ({id, weights});

/** What cached parts may take of it. */
const cachedTokens = memoryTokens * 0.75;

const prompt = (subject: string, more: Partial<PromptNeed> = {}): PromptNeed => ({
	model: 'm', parts: [{id: 'top', tokens: 2500}, {id: subject, tokens: 3800}, {id: `own-${subject}`, tokens: 2900}], promptTokens: 9200, outputTokens: 100, wall: '', ...more,
});

describe('createResidentParts', () => {
	it('knows the shared parts of a prompt at the engine that got it, under its weights and wall alone', () => {
		const parts = createResidentParts({memoryTokens: () => memoryTokens});
		parts.sent(engine('e1'), prompt('s1'));
		assert.equal(parts.tokens(engine('e1'), prompt('s1')), 6300);
		assert.equal(parts.tokens(engine('e1'), prompt('s2')), 2500);
		assert.equal(parts.tokens(engine('e2'), prompt('s1')), 0);
		assert.equal(parts.tokens(engine('e1', 2), prompt('s1')), 0);
		assert.equal(parts.tokens(engine('e1'), prompt('s1', {wall: 'club'})), 0);
		assert.deepEqual([...parts.holders(1, prompt('s1'))], ['e1']);
		assert.isEmpty([...parts.holders(2, prompt('s1'))]);
	});

	it('gives a part up once about a memory of tokens has come after it, however long that takes', () => {
		// Engines evict what was used least lately. A part that is counted on though it
		// is gone is fetched in vain, and then read behind the caller's back.
		const parts = createResidentParts({memoryTokens: () => memoryTokens});
		parts.sent(engine('e1'), prompt('s1'));
		for (const subject of ['s2', 's3', 's4']) {
			assert.equal(parts.tokens(engine('e1'), prompt('s1')), 6300, subject);
			parts.sent(engine('e1'), prompt(subject));
		}

		parts.sent(engine('e1'), prompt('s5'));
		// The top was used by each of them; the subject was not.
		assert.equal(parts.tokens(engine('e1'), prompt('s1')), 2500);
	});

	it('hears what peers sent, and tells its own once', () => {
		const [one, two] = [createResidentParts({memoryTokens: () => memoryTokens}), createResidentParts({memoryTokens: () => memoryTokens})];
		one.sent(engine('e1'), prompt('s1'));
		const news = one.takeNews();
		assert.deepEqual(news, [['e1', ':1', 3000, [['top', 2500], ['s1', 3800]]]]);
		assert.isEmpty(one.takeNews());
		two.heard(news);
		assert.equal(two.tokens(engine('e1'), prompt('s1')), 6300);
	});

	it('forgets an engine that is gone', () => {
		const parts = createResidentParts({memoryTokens: () => memoryTokens});
		parts.sent(engine('e1'), prompt('s1'));
		parts.forget('e1');
		assert.equal(parts.tokens(engine('e1'), prompt('s1')), 0);
		assert.isEmpty([...parts.holders(1, prompt('s1'))]);
	});

	it('counts on no part that an engine which evicts what was used least lately has lost, over generated histories', () => {
		// Prompts of two daemons in any order, to an engine whose memory holds cached
		// parts up to its size. Reports are as late as the next prompt.
		const subjects = fc.array(fc.tuple(fc.boolean(), fc.integer({min: 0, max: 9})), {minLength: 1, maxLength: 60});
		fc.assert(fc.property(subjects, history => {
			const daemons = [createResidentParts({memoryTokens: () => memoryTokens}), createResidentParts({memoryTokens: () => memoryTokens})];
			/** Parts in the engine's memory, least lately used first, with their tokens. */
			const memory = new Map<string, number>();
			for (const [isSecond, subject] of history) {
				const need = prompt(`s${subject}`);
				const [own, other] = isSecond ? [daemons[1], daemons[0]] : [daemons[0], daemons[1]];
				const believed = own.tokens(engine('e1'), need);
				const held = (memory.has('top') ? 2500 : 0) + (memory.has('top') && memory.has(`s${subject}`) ? 3800 : 0);
				assert.isAtMost(believed, held);
				for (const {id, tokens} of [...need.parts, {id: `out-${subject}`, tokens: need.outputTokens}]) {
					memory.delete(id);
					memory.set(id, tokens);
				}

				while ([...memory.values()].reduce((sum, tokens) => sum + tokens, 0) > cachedTokens) {
					const [oldest] = memory.keys();
					memory.delete(oldest);
				}

				own.sent(engine('e1'), need);
				const news: Placement[] = own.takeNews();
				other.heard(news);
			}
		}), {seed: 11, numRuns: 300});
	});
});
