/**
 * Builds forms from JSON schemas. Content of the document is inserted as text or
 * as a value, never as markup.
 */

let lastId = 0;

function createElement(page, name, properties = {}, children = []) {
	const element = page.createElement(name);
	for (const [property, value] of Object.entries(properties)) {
		if (property.includes('-') || property === 'for' || property === 'role') {
			element.setAttribute(property, value);
		} else {
			element[property] = value;
		}
	}

	element.append(...children);
	return element;
}

const builders = {
	object: buildObject,
	array: buildList,
	boolean: buildBoolean,
	number: buildNumber,
	integer: buildNumber,
	string: buildText,
};

/**
 * Builds a form for a value of a JSON schema.
 *
 * @returns {{element: HTMLElement, read: () => unknown, fields: Map<string, HTMLElement>}}
 * `fields` holds each input by its path, such as `workspaces[2].name`.
 */
export function buildForm(page, schema, value) {
	const form = {page, fields: new Map()};
	return {...buildField(form, schema, value, ''), fields: form.fields};
}

function buildField(form, schema, value, path) {
	const variants = schema.oneOf ?? schema.anyOf;
	const build = variants === undefined ? builders[schema.type] ?? buildText : buildVariants;
	return build(form, schema, value, path);
}

const titleOf = path => path.split('.').at(-1);

function buildInput({page, fields}, schema, path, input) {
	lastId++;
	const id = `field-${lastId}`;
	input.id = id;
	const children = [createElement(page, 'label', {for: id, textContent: titleOf(path)}), input];
	if (schema.description !== undefined) {
		children.push(createElement(page, 'small', {id: `${id}-help`, textContent: schema.description}));
	}

	input.setAttribute('aria-describedby', `${id}-help ${id}-fault`);
	children.push(createElement(page, 'span', {id: `${id}-fault`, className: 'fault'}));
	fields.set(path, input);
	return createElement(page, 'div', {}, children);
}

function buildText(form, schema, value, path) {
	if (schema.enum !== undefined) {
		return buildChoice(form, schema, value, path);
	}

	const input = createElement(form.page, 'input', {type: 'text', value: value ?? schema.default ?? schema.const ?? '', readOnly: schema.const !== undefined});
	return {element: buildInput(form, schema, path, input), read: () => input.value === '' ? undefined : input.value};
}

function buildChoice(form, schema, value, path) {
	const options = schema.enum.map(item => createElement(form.page, 'option', {value: item, textContent: item}));
	const select = createElement(form.page, 'select', {}, options);
	select.value = value ?? schema.default ?? schema.enum[0];
	return {element: buildInput(form, schema, path, select), read: () => select.value};
}

function buildNumber(form, schema, value, path) {
	const input = createElement(form.page, 'input', {type: 'text', inputMode: 'decimal', value: String(value ?? schema.default ?? '')});
	return {
		element: buildInput(form, schema, path, input),
		read: () => input.value.trim() === '' ? undefined : parseNumber(input.value),
	};
}

/** Returns text that is not a number unchanged, so that the server's check reports the field. */
const parseNumber = text => Number.isNaN(Number(text)) ? text : Number(text);

function buildBoolean(form, schema, value, path) {
	const input = createElement(form.page, 'input', {type: 'checkbox', checked: value ?? schema.default ?? false});
	return {element: buildInput(form, schema, path, input), read: () => input.checked};
}

function buildObject(form, schema, value, path) {
	const parts = Object.entries(schema.properties ?? {}).map(([name, property]) => {
		const innerPath = path === '' ? name : `${path}.${name}`;
		return [name, buildField(form, property, value?.[name], innerPath)];
	});
	const legend = createElement(form.page, 'legend', {textContent: value?.name ?? value?.id ?? titleOf(path)});
	const children = path === '' ? [] : [legend];
	return {
		element: createElement(form.page, 'fieldset', {}, [...children, ...parts.map(([, part]) => part.element)]),
		read() {
			const result = {};
			for (const [name, part] of parts) {
				const read = part.read();
				if (read !== undefined) {
					result[name] = read;
				}
			}

			return result;
		},
	};
}

/** Builds a choice of variants, which are distinguished by a constant field such as `kind`. */
function buildVariants(form, schema, value, path) {
	const variants = schema.oneOf ?? schema.anyOf;
	const [name] = Object.entries(variants[0].properties ?? {}).find(([, property]) => property.const !== undefined) ?? [''];
	const constantOf = variant => variant.properties?.[name]?.const;
	const options = variants.map(variant => createElement(form.page, 'option', {value: constantOf(variant), textContent: constantOf(variant)}));
	const select = createElement(form.page, 'select', {'aria-label': `${titleOf(path)}: ${name}`}, options);
	select.value = value?.[name] ?? constantOf(variants[0]);
	const container = createElement(form.page, 'div');
	let current;
	const show = shown => {
		const variant = variants.find(item => constantOf(item) === select.value) ?? variants[0];
		current = buildField(form, variant, {...shown, [name]: constantOf(variant)}, path);
		container.replaceChildren(current.element);
	};

	show(value);
	select.addEventListener('change', () => show(current.read()));
	return {element: createElement(form.page, 'div', {}, [select, container]), read: () => current.read()};
}

function buildList(form, schema, value, path) {
	let items = [];
	const container = createElement(form.page, 'div');
	const show = values => {
		for (const shown of form.fields.keys()) {
			if (shown.startsWith(`${path}[`)) {
				form.fields.delete(shown);
			}
		}

		items = values.map((item, index) => buildField(form, schema.items ?? {}, item, `${path}[${index}]`));
		container.replaceChildren(...items.map((item, index) => createElement(form.page, 'div', {}, [item.element, buildRemoveButton(index)])));
	};

	const read = () => items.map(item => item.read() ?? '');
	const buildRemoveButton = index => {
		const button = createElement(form.page, 'button', {type: 'button', textContent: `Remove ${titleOf(path)} ${index + 1}`});
		button.addEventListener('click', () => {
			show(read().toSpliced(index, 1));
			add.focus();
		});
		return button;
	};

	const add = createElement(form.page, 'button', {type: 'button', textContent: `Add to ${titleOf(path)}`});
	add.addEventListener('click', () => {
		show([...read(), undefined]);
		container.lastElementChild?.querySelector('input, select')?.focus();
	});
	show(value ?? schema.default ?? []);
	const legend = createElement(form.page, 'legend', {textContent: titleOf(path)});
	return {element: createElement(form.page, 'fieldset', {}, [legend, container, add]), read};
}

/** Shows faults at their fields; returns those without a field in the form. */
export function showFaults(page, fields, faults) {
	for (const input of fields.values()) {
		input.removeAttribute('aria-invalid');
		setFault(page, input, '');
	}

	const unmatched = [];
	let first;
	for (const fault of faults) {
		const input = fields.get(fault.path);
		if (input === undefined) {
			unmatched.push(fault);
			continue;
		}

		input.setAttribute('aria-invalid', 'true');
		setFault(page, input, fault.message);
		first ??= input;
	}

	first?.focus();
	return unmatched;
}

function setFault(page, input, text) {
	const faultElement = page.querySelector(`#${input.id}-fault`);
	if (faultElement) {
		faultElement.textContent = text;
	}
}
