import {readFile} from 'node:fs/promises';
import {assert} from 'chai';
import fc from 'fast-check';
import {z} from 'zod';
import {documentSchema, type FleetDocument} from '../../configuration.js';
import {sampleDocument} from '../configuration/sample-document.js';
import {startServer} from './administration-fixture.js';
import {createFakePage, type FakeElement, listElements} from './fake-page.js';

type MergeModule = {mergeDocuments: (base: unknown, theirs: unknown, mine: unknown) => {value: FleetDocument; conflicts: string[]}};
type BuiltForm = {element: FakeElement; read: () => unknown; fields: Map<string, FakeElement>};
type FormModule = {
	buildForm: (page: unknown, schema: unknown, value: unknown) => BuiltForm;
	showFaults: (page: unknown, fields: Map<string, FakeElement>, faults: Array<{path: string; message: string}>) => unknown[];
};

const load = async <Module>(name: string): Promise<Module> => await import(new URL(`../../../console/${name}`, import.meta.url).href) as Module;

const schema = z.toJSONSchema(documentSchema, {io: 'input'});
const hostileNames = ['<script>alert(1)</script>', '"><img src=x onerror=alert(1)>', '{"__proto__": 1}', '</textarea><svg onload=alert(1)>', '{{7*7}}', '__proto__'];

describe('console', () => {
	it('is served with a content security policy that allows only its own scripts', async () => {
		const {call, close} = await startServer();
		try {
			for (const path of ['/console/', '/console/console.js', '/console/merge.js', '/console/schema-form.js', '/console/console.css']) {
				const {status, headers, text} = await call(undefined, 'GET', path);
				assert.equal(status, 200, path);
				const policy = headers.get('content-security-policy') ?? '';
				assert.match(policy, /default-src 'none'; script-src 'self';/v);
				assert.notMatch(policy, /unsafe/v);
				assert.notMatch(text, /\s(?:onclick|onload|onerror|onsubmit|style)=|<script(?![^>]*\ssrc=)/v, path);
				assert.notMatch(text, /innerHTML|outerHTML|insertAdjacentHTML|document\.write|\beval\b|localStorage|sessionStorage/v, path);
			}

			const outside = await call(undefined, 'GET', '/console/..%2fpackage.json');
			assert.equal(outside.status, 404);
		} finally {
			await close();
		}
	});

	// Stored cross-site scripting: markup that one operator puts into a name would
	// run in the browser of another who may change the document.
	it('inserts names with markup only as text and values, and returns them unchanged', async () => {
		const {buildForm} = await load<FormModule>('schema-form.js');
		for (const name of hostileNames) {
			const value = sampleDocument();
			value.workspaces[0].name = name;
			value.workspaces[0].services = [name];
			value.services[0].name = name;
			value.endpoints[0].name = name;
			const form = buildForm(createFakePage(), schema, value);
			assert.deepEqual(form.read(), structuredClone(value));
			for (const element of listElements(form.element)) {
				assert.include(['div', 'fieldset', 'legend', 'label', 'input', 'select', 'option', 'button', 'small', 'span'], element.name);
				assert.notInclude([...element.attributes.values()].join(' '), name, 'attributes hold only ids');
			}
		}
	});

	it('labels every field, and shows each fault at its field', async () => {
		const {buildForm, showFaults} = await load<FormModule>('schema-form.js');
		const page = createFakePage();
		const form = buildForm(page, schema, sampleDocument());
		const elements = [...listElements(form.element)];
		const labels = new Set(elements.filter(element => element.name === 'label').map(element => element.attributes.get('for')));
		for (const [path, input] of form.fields) {
			assert.isTrue(labels.has(input.id), path);
		}

		page.elements = elements;
		const unmatched = showFaults(page, form.fields, [{path: 'workspaces[0].burstTokens', message: 'too small'}, {path: 'nowhere', message: 'gone'}]);
		const input = form.fields.get('workspaces[0].burstTokens');
		assert.equal(input?.attributes.get('aria-invalid'), 'true');
		assert.equal(elements.find(element => element.id === `${input?.id}-fault`)?.textContent, 'too small');
		assert.lengthOf(unmatched, 1);
	});

	// Ana's change is refused with 412 because Ben's was accepted while she typed.
	// Reloading his version would discard her input.
	it('merges another operator\'s change with the input', async () => {
		const {mergeDocuments} = await load<MergeModule>('merge.js');
		const base = sampleDocument();
		const theirs = sampleDocument();
		theirs.workspaces[1].tokensPerSecond = 700;
		theirs.workspaces.unshift({...theirs.workspaces[1], name: 'school-0'});
		const mine = sampleDocument(2000);
		mine.endpoints.push({...mine.endpoints[0], name: 'ws-2'});
		const {value, conflicts} = mergeDocuments(base, theirs, mine);
		assert.deepEqual(conflicts, []);
		assert.deepEqual(Object.fromEntries(value.workspaces.map(workspace => [workspace.name, workspace.tokensPerSecond])), {'school-0': 700, 'school-1': 2000, 'school-2': 700});
		assert.lengthOf(value.endpoints, 2);
	});

	it('keeps the input where both changed the same field, and reports its path', async () => {
		const {mergeDocuments} = await load<MergeModule>('merge.js');
		const {value, conflicts} = mergeDocuments(sampleDocument(1000), sampleDocument(3000), sampleDocument(2000));
		assert.deepEqual(conflicts, ['workspaces[school-1].tokensPerSecond']);
		assert.equal(value.workspaces[0].tokensPerSecond, 2000);
	});

	it('keeps the changes of both sides, whichever fields they are in', async () => {
		const {mergeDocuments} = await load<MergeModule>('merge.js');
		const rates = fc.array(fc.integer({min: 1, max: 5}), {minLength: 2, maxLength: 2});
		fc.assert(fc.property(rates, rates, rates, (base, theirs, mine) => {
			const documentOf = (values: number[]): FleetDocument => {
				const document = sampleDocument(values[0]);
				document.workspaces[1].burstTokens = values[1];
				return document;
			};

			const {value, conflicts} = mergeDocuments(documentOf(base), documentOf(theirs), documentOf(mine));
			const got = [value.workspaces[0].tokensPerSecond, value.workspaces[1].burstTokens];
			for (const [index, item] of got.entries()) {
				assert.equal(item, mine[index] === base[index] ? theirs[index] : mine[index]);
			}

			const both = got.filter((_, index) => mine[index] !== base[index] && theirs[index] !== base[index] && mine[index] !== theirs[index]);
			assert.lengthOf(conflicts, both.length);
		}), {seed: 1, numRuns: 200});
	});

	it('has labels and landmarks for screen readers', async () => {
		const html = await readFile(new URL('../../../console/index.html', import.meta.url), 'utf8');
		for (const [, id] of html.matchAll(/<input id="([^"]+)"/gv)) {
			assert.include(html, `<label for="${id}">`);
		}

		assert.match(html, /<html lang="en">/v);
		assert.match(html, /<main id="main"/v);
		assert.match(html, /aria-live="polite"/v);
	});
});
