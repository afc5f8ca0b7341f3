/** Slopes of what each request and token costs; none of it is control. */
import {Buffer} from 'node:buffer';
import {createEventReader} from 'hickorywalk/gateway.js';
import {createPromptHasher} from 'hickorywalk/routing.js';
import {doublings, type SlopeDefinition} from './measure.js';

const identity = {
	workspace: 'workspace-1', model: 'model-1', version: 'v1', adapter: '',
};

export const dataPathSlopes: SlopeDefinition[] = [
	{
		role: 'data path',
		cost: 'hash the prompt\'s pieces',
		per: 'KB of prompt',
		unit: 'us',
		sizes: doublings(16, 6),
		async measure(size) {
			const hasher = await createPromptHasher();
			const prompt = Buffer.alloc(size * 1000, 'the standing rules of the register; ');
			return {
				kind: 'time',
				work() {
					hasher.hash(identity, prompt, 4096);
				},
			};
		},
	},
	{
		role: 'data path',
		cost: 'read server-sent events',
		per: 'event',
		unit: 'us',
		sizes: doublings(500),
		measure(size) {
			const event = Buffer.from('id: 17\ndata: {"id":"r-1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"word"}}]}\n\n');
			return {
				kind: 'time',
				work() {
					const reader = createEventReader();
					for (let index = 0; index < size; index++) {
						reader.read(event);
					}
				},
			};
		},
	},
];
