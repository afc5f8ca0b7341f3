import {readFile} from 'node:fs/promises';
import {assert} from 'chai';
import {sampleDocument} from '../configuration/sample-document.js';
import {keys, startServer} from './administration-fixture.js';
import {
	createPageFromHtml, type FakeElement, type FakePage, listElements,
} from './fake-page.js';

const consoleUrl = new URL('../../../console/', import.meta.url);

const textOf = (element: FakeElement): string => [...listElements(element)].map(item => item.textContent).join(' ');

/** Runs the console's script on a fake page against a real administration server. */
describe('console with a server', () => {
	let page: FakePage;
	let started: Awaited<ReturnType<typeof startServer>>;
	const originals = {fetch: globalThis.fetch, document: Reflect.get(globalThis, 'document') as unknown};

	before(async () => {
		started = await startServer();
		page = createPageFromHtml(await readFile(new URL('index.html', consoleUrl), 'utf8'));
		Reflect.set(globalThis, 'document', page);
		globalThis.fetch = async (path, options) => originals.fetch(new URL(path instanceof Request ? path.url : path, started.url), options);
		await started.call('ana', 'PUT', '/v1/configuration', {body: sampleDocument(), ifMatch: '"0"'});
		await import(new URL('console.js', consoleUrl).href);
	});

	after(async () => {
		globalThis.fetch = originals.fetch;
		Reflect.set(globalThis, 'document', originals.document);
		await started.close();
	});

	const byId = (id: string): FakeElement => page.querySelector(`#${id}`) ?? assert.fail(`there is no #${id}`);

	const triggerEvent = async (id: string, event: string, value = ''): Promise<void> => {
		await byId(id).handlers.get(event)?.({preventDefault: () => undefined, submitter: {value}});
	};

	const field = (path: string): FakeElement => {
		const label = path.split('.').at(-1);
		const fields = [...listElements(byId('document-form'))];
		const index = fields.findIndex(item => item.name === 'legend' && item.textContent === path.split('.')[0]);
		const at = fields.findIndex((item, place) => place > index && item.name === 'label' && item.textContent === label);
		return fields[at + 1];
	};

	it('shows the daemon\'s error message for a wrong key', async () => {
		byId('operator-key').value = 'no such key';
		await triggerEvent('sign-in', 'submit');
		assert.include(byId('message').textContent, 'Send an operator key');
	});

	it('loads and checks the document, marks an invalid field, and allows a valid change to be accepted', async () => {
		byId('operator-key').value = keys.ana;
		await triggerEvent('sign-in', 'submit');
		assert.equal(byId('version').textContent, 'Made from version 1.');
		field('school-1.tokensPerSecond').value = 'many';
		await triggerEvent('check', 'click');
		assert.equal(byId('message').textContent, '1 field(s) to mend.');
		assert.equal(field('school-1.tokensPerSecond').attributes.get('aria-invalid'), 'true');
		assert.isTrue(byId('accept').disabled);
		field('school-1.tokensPerSecond').value = '2000';
		await triggerEvent('check', 'click');
		assert.include(textOf(byId('difference')), 'workspaces[school-1].tokensPerSecond: 1000 becomes 2000');
		assert.isFalse(byId('accept').disabled);
	});

	// Ben's change is accepted while Ana edits the form. Hers is refused; the form
	// then holds both changes, and her next attempt is accepted.
	it('merges a concurrent change without losing input', async () => {
		const bensDocument = sampleDocument();
		bensDocument.workspaces[1].tokensPerSecond = 700;
		await started.call('ben', 'PUT', '/v1/configuration', {body: bensDocument, ifMatch: '"1"'});
		await triggerEvent('accept', 'click');
		assert.include(byId('message').textContent, 'Another change came first');
		assert.include(textOf(byId('difference')), 'workspaces[school-2].tokensPerSecond: 500 becomes 700');
		assert.equal(field('school-1.tokensPerSecond').value, '2000');
		assert.equal(field('school-2.tokensPerSecond').value, '700');
		await triggerEvent('check', 'click');
		void triggerEvent('accept', 'click');
		await until(() => byId('message').textContent.startsWith('Version 3:'));
		assert.include(byId('message').textContent, 'waiting for vm-3');
		const accepted = await started.store.read();
		assert.deepEqual(accepted?.document.workspaces.map(workspace => workspace.tokensPerSecond), [2000, 700]);
	});

	it('issues a key, shows it once, and keeps unsaved input', async () => {
		field('school-2.burstTokens').value = '99';
		byId('key-workspace').value = 'school-1';
		byId('key-id').value = 'till-1';
		void triggerEvent('key-form', 'submit', 'issue');
		await until(() => byId('version').textContent === 'Made from version 4.');
		assert.match(byId('issued').textContent, /^Shown once: hw-/v);
		assert.equal(field('school-2.burstTokens').value, '99');
	});

	async function until(isTrue: () => boolean): Promise<void> {
		while (!isTrue()) {
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		}
	}
});
