/** Marks the tests that are listed in KNOWN-RED.txt as pending; see DEVELOPERS.md. */
import {type Suite, type Test} from 'mocha';
import {z} from 'zod';

const text = z.string().trim().min(1);

const entrySchema = z.strictObject({
	/** Mocha's full title, compared literally. */
	test: z.string().refine(title => title.trim() !== ''),
	command: text,
	seen: text,
	issue: text,
});

export type KnownRedEntry = z.infer<typeof entrySchema>;

type Block = {line: number; fields: Map<string, string>};

function failAt(line: number, reason: string): never {
	throw new Error(`KNOWN-RED.txt, line ${line}: ${reason}`);
}

function readBlocks(content: string): Block[] {
	const blocks: Block[] = [];
	for (const [index, row] of content.split(/\r?\n/v).entries()) {
		const line = index + 1;
		if (row.trim() === '' || row.startsWith('#')) {
			continue;
		}

		if (row.startsWith('test:')) {
			blocks.push({line, fields: new Map([['test', row.replace(/^test: ?/v, '')]])});
			continue;
		}

		const field = /^\s+(?<name>command|seen|issue):(?<value>.*)$/v.exec(row)?.groups;
		const block = blocks.at(-1);
		if (!field || !block) {
			failAt(line, 'expected "test: FULL TITLE", then indented "command: …", "seen: …" and "issue: …"');
		}

		if (block.fields.has(field.name)) {
			failAt(line, `"${field.name}" is given twice`);
		}

		block.fields.set(field.name, field.value);
	}

	return blocks;
}

export function parseKnownRed(content: string): KnownRedEntry[] {
	const entries = new Map<string, KnownRedEntry>();
	for (const {line, fields} of readBlocks(content)) {
		const {data: entry, error} = entrySchema.safeParse(Object.fromEntries(fields));
		if (!entry) {
			const names = new Set(error.issues.map(issue => issue.path.join('.')));
			failAt(line, `missing or empty: ${[...names].join(', ')}`);
		}

		if (entries.has(entry.test)) {
			failAt(line, `"${entry.test}" is listed twice`);
		}

		entries.set(entry.test, entry);
	}

	return [...entries.values()];
}

function collectTests(suite: Suite): Test[] {
	return [...suite.tests, ...suite.suites.flatMap(child => collectTests(child))];
}

export type KnownRedOptions = {
	entries: readonly KnownRedEntry[];
	/** Whether all tests are loaded, so that a title without a test is an error. */
	isWholeRun: boolean;
};

export function createKnownRedHooks({entries, isWholeRun}: KnownRedOptions) {
	return {
		beforeAll(this: Mocha.Context): void {
			const tests = collectTests(this.test!.parent!);
			for (const {test: title} of entries) {
				const matches = tests.filter(test => test.fullTitle() === title);
				if (matches.length > 1) {
					throw new Error(`KNOWN-RED.txt: ${matches.length} tests are titled "${title}"; give them titles of their own`);
				}

				if (matches.length === 0 && isWholeRun) {
					throw new Error(`KNOWN-RED.txt: no test is titled "${title}"; correct or remove the entry`);
				}

				for (const test of matches) {
					// Unlike skipping in a hook, this also skips the hooks of the test.
					test.pending = true;
				}
			}
		},
	};
}
