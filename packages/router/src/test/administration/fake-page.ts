/** As much of a browser's page as the console's forms use. */

export type FakeElement = {
	name: string;
	id: string;
	value: unknown;
	textContent: string;
	attributes: Map<string, string>;
	children: FakeElement[];
	lastElementChild: FakeElement | undefined;
	append: (...children: FakeElement[]) => void;
	replaceChildren: (...children: FakeElement[]) => void;
	setAttribute: (name: string, value: string) => void;
	removeAttribute: (name: string) => void;
	/** Handlers by the name of their event. */
	handlers: Map<string, (event: FakeEvent) => Promise<void> | void>;
	hidden: boolean;
	disabled: boolean;
	addEventListener: (name: string, handler: (event: FakeEvent) => Promise<void> | void) => void;
	focus: () => void;
};

export type FakeEvent = {preventDefault: () => void; submitter?: {value: string}};

export type FakePage = {
	/** What `querySelector` searches, by id. */
	elements: FakeElement[];
	createElement: (name: string) => FakeElement;
	querySelector: (selector: string) => FakeElement | undefined;
};

export function createFakePage(): FakePage {
	const page: FakePage = {
		elements: [],
		createElement,
		querySelector: selector => page.elements.flatMap(element => [...listElements(element)]).find(element => `#${element.id}` === selector),
	};
	return page;
}

/** A page with an element for each id of an HTML text. */
export function createPageOf(html: string): FakePage {
	const page = createFakePage();
	for (const [, name, id] of html.matchAll(/<(\w+)[^>]* id="([^"]+)"/gv)) {
		page.elements.push(Object.assign(createElement(name), {id}));
	}

	return page;
}

function createElement(name: string): FakeElement {
	const element: FakeElement = {
		name,
		id: '',
		value: '',
		textContent: '',
		attributes: new Map(),
		children: [],
		lastElementChild: undefined,
		append(...children) {
			element.children.push(...children);
		},
		replaceChildren(...children) {
			element.children = children;
		},
		setAttribute(attribute, value) {
			element.attributes.set(attribute, value);
		},
		removeAttribute(attribute) {
			element.attributes.delete(attribute);
		},
		handlers: new Map(),
		hidden: false,
		disabled: false,
		addEventListener(event, handler) {
			element.handlers.set(event, handler);
		},
		focus: () => undefined,
	};
	return element;
}

/** An element and all below it. */
export function * listElements(element: FakeElement): Iterable<FakeElement> {
	yield element;
	for (const child of element.children) {
		yield * listElements(child);
	}
}
