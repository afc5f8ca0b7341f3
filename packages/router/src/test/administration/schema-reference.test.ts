import {readFile} from 'node:fs/promises';
import {assert} from 'chai';
import {z} from 'zod';
import {formatSchemaReference} from '../../administration.js';
import {documentSchema} from '../../configuration.js';

describe('formatSchemaReference', () => {
	it('formats a row for each field, with its default, bounds and variants', () => {
		const table = formatSchemaReference(z.strictObject({
			share: z.number().gt(0).lt(1).default(0.5).describe('A share; a | b.'),
			items: z.array(z.discriminatedUnion('kind', [
				z.strictObject({kind: z.literal('plain'), path: z.string().optional()}),
				z.strictObject({kind: z.literal('model'), name: z.string().describe('Its name.')}),
			])),
		}));
		assert.include(table, String.raw`| ${'`share`'} | number, above 0, below 1 | ${'`0.5`'} | A share; a \| b. |`);
		assert.include(table, '| `items[](plain).path` | string | absent |');
		assert.include(table, '| `items[](model).name` | string | required | Its name. |');
	});

	// Otherwise the reference page would describe fields that no longer exist.
	it('matches the table in docs/reference/document.md', async () => {
		const page = await readFile(new URL('../../../../../docs/reference/document.md', import.meta.url), 'utf8');
		assert.include(page, formatSchemaReference(documentSchema), 'run: npm run bench -- reference');
	});
});
