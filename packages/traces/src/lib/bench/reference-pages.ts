/**
 * `npm run bench -- reference`: writes docs/reference from the schemas. With
 * `--check` an outdated page isn't rewritten but reported, with exit status 1.
 */
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {formatSchemaReference} from 'hickorywalk/administration.js';
import {documentSchema} from 'hickorywalk/configuration.js';
import {type z} from 'zod';

const referenceUrl = new URL('../../../../../docs/reference/', import.meta.url);

/** The daemon depends on this package, so its schema is imported at run time to avoid a cycle. */
const settingsUrl = new URL('../../../../daemon/dist/lib/settings.js', import.meta.url);

const intros = {
	'document.md': '# The document\n\nThe one validated document that describes a fleet. Made from its schema by `npm run bench -- reference`; don\'t edit.',
	'settings.md': '# Settings of a daemon\n\nWhat one daemon reads when it starts. Made from the schema by `npm run bench -- reference`; don\'t edit.',
} as const;

export async function runReferencePages(args: string[]): Promise<void> {
	const {settingsSchema} = await import(settingsUrl.href) as {settingsSchema: z.ZodType};
	const schemas = {'document.md': documentSchema, 'settings.md': settingsSchema} as const;
	for (const name of ['document.md', 'settings.md'] as const) {
		const page = `${intros[name]}\n\n${formatSchemaReference(schemas[name])}\n`;
		const isSame = await readPage(name) === page;
		if (!isSame && args.includes('--check')) {
			console.error(`docs/reference/${name} is out of date with its schema. Run: npm run bench -- reference`);
			process.exitCode = 1;
			continue;
		}

		await writeFile(new URL(name, referenceUrl), page);
		console.log(JSON.stringify({page: name, changed: !isSame}));
	}
}

async function readPage(name: string): Promise<string | undefined> {
	try {
		return await readFile(new URL(name, referenceUrl), 'utf8');
	} catch {
		return undefined;
	}
}
