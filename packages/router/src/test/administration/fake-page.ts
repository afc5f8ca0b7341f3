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
	addEventListener: () => void;
	focus: () => void;
};

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
		querySelector: selector => page.elements.find(element => `#${element.id}` === selector),
	};
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
		addEventListener: () => undefined,
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
