/** A fake of the part of the DOM that the console uses. */

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
	/** Event handlers by event name. */
	handlers: Map<string, (event: FakeEvent) => Promise<void> | void>;
	hidden: boolean;
	disabled: boolean;
	addEventListener: (name: string, handler: (event: FakeEvent) => Promise<void> | void) => void;
	focus: () => void;
};

export type FakeEvent = {preventDefault: () => void; submitter?: {value: string}};

export type FakePage = {
	/** Roots of the trees that `querySelector` searches by id. */
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

/** Creates a page with an element for each id in an HTML text. */
export function createPageFromHtml(html: string): FakePage {
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

/** Yields an element and all its descendants. */
export function * listElements(element: FakeElement): Iterable<FakeElement> {
	yield element;
	for (const child of element.children) {
		yield * listElements(child);
	}
}
