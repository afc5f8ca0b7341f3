import {readFile} from 'node:fs/promises';
import {assert} from 'chai';
import {sampleDocument} from '../configuration/sample-document.js';
import {keys, startServer} from './administration-fixture.js';
import {
	createPageOf, type FakeElement, type FakePage, listElements,
} from './fake-page.js';

const consoleUrl = new URL('../../../console/', import.meta.url);

const textOf = (element: FakeElement): string => [...listElements(element)].map(item => item.textContent).join(' ');

/** The whole console, run against a real administration server on a page without a browser. */
describe('console, walked through', () => {
	let page: FakePage;
	let started: Awaited<ReturnType<typeof startServer>>;
	const former = {fetch: globalThis.fetch, document: Reflect.get(globalThis, 'document') as unknown};

	before(async () => {
		started = await startServer();
		page = createPageOf(await readFile(new URL('index.html', consoleUrl), 'utf8'));
		Reflect.set(globalThis, 'document', page);
		globalThis.fetch = async (path, options) => former.fetch(new URL(path instanceof Request ? path.url : path, started.url), options);
		await started.call('ana', 'PUT', '/v1/configuration', {body: sampleDocument(), ifMatch: '"0"'});
		await import(new URL('console.js', consoleUrl).href);
	});

	after(async () => {
		globalThis.fetch = former.fetch;
		Reflect.set(globalThis, 'document', former.document);
		await started.close();
	});

	const byId = (id: string): FakeElement => page.querySelector(`#${id}`) ?? assert.fail(`there is no #${id}`);

	const act = async (id: string, event: string, value = ''): Promise<void> => {
		await byId(id).handlers.get(event)?.({preventDefault: () => undefined, submitter: {value}});
	};

	const field = (path: string): FakeElement => {
		const label = path.split('.').at(-1);
		const fields = [...listElements(byId('document-form'))];
		const index = fields.findIndex(item => item.name === 'legend' && item.textContent === path.split('.')[0]);
		const at = fields.findIndex((item, place) => place > index && item.name === 'label' && item.textContent === label);
		return fields[at + 1];
	};

	it('refuses a wrong key with the daemon\'s words', async () => {
		byId('operator-key').value = 'no such key';
		await act('sign-in', 'submit');
		assert.include(byId('message').textContent, 'Send an operator key');
	});

	it('loads, checks, names a wrong field, and accepts', async () => {
		byId('operator-key').value = keys.ana;
		await act('sign-in', 'submit');
		assert.equal(byId('version').textContent, 'Made from version 1.');
		field('school-1.tokensPerSecond').value = 'many';
		await act('check', 'click');
		assert.equal(byId('message').textContent, '1 field(s) to mend.');
		assert.equal(field('school-1.tokensPerSecond').attributes.get('aria-invalid'), 'true');
		assert.isTrue(byId('accept').disabled);
		field('school-1.tokensPerSecond').value = '2000';
		await act('check', 'click');
		assert.include(textOf(byId('difference')), 'workspaces[school-1].tokensPerSecond: 1000 becomes 2000');
		assert.isFalse(byId('accept').disabled);
	});

	// Ben's change is accepted while Ana has hers in the form. Hers is refused; she
	// sees his, both stand in the form, and her next try goes through.
	it('mends a conflict without losing input', async () => {
		const bens = sampleDocument();
		bens.workspaces[1].tokensPerSecond = 700;
		await started.call('ben', 'PUT', '/v1/configuration', {body: bens, ifMatch: '"1"'});
		await act('accept', 'click');
		assert.include(byId('message').textContent, 'Another change came first');
		assert.include(textOf(byId('difference')), 'workspaces[school-2].tokensPerSecond: 500 becomes 700');
		assert.equal(field('school-1.tokensPerSecond').value, '2000');
		assert.equal(field('school-2.tokensPerSecond').value, '700');
		await act('check', 'click');
		void act('accept', 'click');
		await until(() => byId('message').textContent.startsWith('Version 3:'));
		assert.include(byId('message').textContent, 'waiting for vm-3');
		const accepted = await started.store.read();
		assert.deepEqual(accepted?.document.workspaces.map(workspace => workspace.tokensPerSecond), [2000, 700]);
	});

	it('issues a key, shows it once, and keeps what is typed', async () => {
		field('school-2.burstTokens').value = '99';
		byId('key-workspace').value = 'school-1';
		byId('key-id').value = 'till-1';
		void act('key-form', 'submit', 'issue');
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
