/**
 * The console: loads the document, shows it as a form, and sends it back in
 * full. The operator's key is held only in the memory of this page.
 */
import {mergeDocuments} from './merge.js';
import {buildForm, showFaults} from './schema-form.js';

const page = globalThis.document;
const byId = id => page.querySelector(`#${id}`);

const state = {
	key: '', version: 0, base: undefined, form: undefined, schema: undefined,
};

/** Calls the administration API; resolves whatever the status of the answer. */
async function call(method, path, options = {}) {
	const res = await fetch(path, {
		method,
		headers: {
			authorization: `Bearer ${state.key}`,
			...(options.body !== undefined && {'content-type': 'application/json'}),
			...(options.version !== undefined && {'if-match': `"${options.version}"`}),
		},
		...(options.body !== undefined && {body: JSON.stringify(options.body)}),
		credentials: 'omit',
	});
	const text = await res.text();
	const isJson = res.headers.get('content-type')?.startsWith('application/json');
	return {status: res.status, text, body: isJson ? JSON.parse(text) : undefined};
}

function showMessage(text) {
	byId('message').textContent = text;
}

const errorMessageOf = ({status, body}) => body?.error?.message ?? `The daemon answered ${status}.`;

function showDocument(value, version) {
	state.version = version;
	state.form = buildForm(page, state.schema, value);
	byId('document-form').replaceChildren(state.form.element);
	byId('version').textContent = `Made from version ${version}.`;
	byId('main').hidden = false;
}

async function load() {
	const schema = await call('GET', '/v1/configuration/schema');
	if (schema.status !== 200) {
		showMessage(errorMessageOf(schema));
		return;
	}

	state.schema = schema.body;
	const accepted = await call('GET', '/v1/configuration');
	state.base = accepted.body.document ?? {
		layout: 1, dataCentres: [], workspaces: [], services: [], endpoints: [],
	};
	showDocument(state.base, accepted.body.version ?? 0);
	showMessage('Loaded.');
	byId('main').focus();
}

function listItems(items) {
	const list = page.createElement('ul');
	for (const text of items) {
		const item = page.createElement('li');
		item.textContent = text;
		list.append(item);
	}

	return list;
}

const formatValue = value => value === undefined ? '(nothing)' : JSON.stringify(value);

function showChanges(container, title, changes) {
	const heading = page.createElement('h3');
	heading.textContent = title;
	container.append(heading, listItems(changes.map(({path, before, after}) => `${path}: ${formatValue(before)} becomes ${formatValue(after)}`)));
}

function showFaultList(faults) {
	const unmatched = showFaults(page, state.form.fields, faults);
	byId('faults').replaceChildren(listItems(unmatched.map(({path, message}) => `${path}: ${message}`)));
	showMessage(faults.length === 0 ? 'The document holds together.' : `${faults.length} field(s) to mend.`);
}

async function check() {
	const answer = await call('POST', '/v1/configuration/check', {body: state.form.read()});
	const container = byId('difference');
	container.replaceChildren();
	if (answer.status !== 200) {
		showMessage(errorMessageOf(answer));
		return;
	}

	showFaultList(answer.body.faults);
	byId('accept').disabled = answer.body.faults.length > 0 || answer.body.changes.length === 0;
	showChanges(container, 'What accepting it changes', answer.body.changes);
}

/** Merges the change of another operator that was accepted first into the form, keeping the input. */
async function mergeConcurrentChange(error) {
	const mine = state.form.read();
	const accepted = await call('GET', '/v1/configuration');
	if (accepted.status !== 200) {
		showMessage(`${error.message} Your input is kept; try again.`);
		return;
	}

	const {value, conflicts} = mergeDocuments(state.base, accepted.body.document, mine);
	state.base = accepted.body.document;
	showDocument(value, accepted.body.version);
	const container = byId('difference');
	container.replaceChildren();
	showChanges(container, 'Another operator changed meanwhile', error.theirs ?? []);
	if (conflicts.length > 0) {
		const heading = page.createElement('h3');
		heading.textContent = 'Both of you changed these; your input stands';
		container.append(heading, listItems(conflicts));
	}

	byId('accept').disabled = true;
	showMessage('Another change came first. It is in the form now, beside yours. Check again before you accept.');
	container.focus();
}

async function accept() {
	const answer = await call('PUT', '/v1/configuration', {body: state.form.read(), version: state.version});
	if (answer.status === 412) {
		await mergeConcurrentChange(answer.body.error);
		return;
	}

	if (answer.status !== 200) {
		showFaultList(answer.body?.error?.faults ?? []);
		showMessage(errorMessageOf(answer));
		return;
	}

	state.base = state.form.read();
	byId('accept').disabled = true;
	byId('difference').replaceChildren();
	await followVersion(answer.body);
}

const pollMs = 1000;

/** Shows where a version is in force until it is in force everywhere. */
async function followVersion(summary) {
	state.version = Math.max(state.version, summary.version);
	byId('version').textContent = `Made from version ${state.version}.`;
	for (let shown = summary; ;) {
		showMessage(`Version ${shown.version}: ${shown.text}`);
		if (shown.complete || shown.version < state.version) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollMs);
		});
		const answer = await call('GET', `/v1/configuration/versions/${shown.version}/in-force`);
		if (answer.status !== 200) {
			showMessage(errorMessageOf(answer));
			return;
		}

		shown = answer.body;
	}
}

async function changeKey(action) {
	const workspace = encodeURIComponent(byId('key-workspace').value);
	const id = byId('key-id').value;
	const answer = action === 'issue'
		? await call('POST', `/v1/workspaces/${workspace}/keys`, {body: {id}, version: state.version})
		: await call('DELETE', `/v1/workspaces/${workspace}/keys/${encodeURIComponent(id)}`, {version: state.version});
	if (answer.status >= 300) {
		byId('issued').textContent = errorMessageOf(answer);
		return;
	}

	byId('issued').textContent = action === 'issue' ? `Shown once: ${answer.body.key}` : `Key ${id} is withdrawn.`;
	const mine = state.form.read();
	const accepted = await call('GET', '/v1/configuration');
	const {value} = mergeDocuments(state.base, accepted.body.document, mine);
	state.base = accepted.body.document;
	showDocument(value, accepted.body.version);
	await followVersion(action === 'issue' ? answer.body.inForce : answer.body);
}

/** Wraps an event handler: when the daemon can't be reached, shows a message and keeps the input. */
const withNetworkErrors = work => async event => {
	event.preventDefault();
	try {
		await work(event);
	} catch {
		showMessage('The daemon could not be reached. Your input is kept; try again, or use another daemon.');
	}
};

byId('sign-in').addEventListener('submit', withNetworkErrors(async () => {
	state.key = byId('operator-key').value;
	await load();
}));
byId('document-form').addEventListener('submit', withNetworkErrors(check));
byId('document-form').addEventListener('input', () => {
	byId('accept').disabled = true;
});
byId('check').addEventListener('click', withNetworkErrors(check));
byId('accept').addEventListener('click', withNetworkErrors(accept));
byId('key-form').addEventListener('submit', withNetworkErrors(event => changeKey(event.submitter.value)));
byId('burn').addEventListener('click', withNetworkErrors(async () => {
	const {text} = await call('GET', '/v1/reports/burn?format=text');
	byId('burn-report').textContent = text;
}));
