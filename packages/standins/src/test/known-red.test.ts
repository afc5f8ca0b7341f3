import {assert} from 'chai';
import Mocha from 'mocha';
import {createKnownRedHooks, parseKnownRed, type KnownRedOptions} from './known-red.js';

const orders = `test: orders are placed once
  command: npm test
  seen: placed twice, seed 7
  issue: 41
`;

describe('KNOWN-RED.txt', () => {
	it('is parsed into entries, without comments and empty lines', () => {
		const entries = parseKnownRed(`# First\n\n${orders}\n# Second\ntest: calls: end\r\n\tissue: 42\r\n\tseen: a: b\r\n\n\tcommand: npm test\r\n`);
		assert.deepEqual(entries, [
			{
				test: 'orders are placed once', command: 'npm test', seen: 'placed twice, seed 7', issue: '41',
			},
			{
				test: 'calls: end', command: 'npm test', seen: 'a: b', issue: '42',
			},
		]);
	});

	it('may have no entries', () => {
		assert.deepEqual(parseKnownRed('# Nothing is red.\n\n'), []);
	});

	for (const name of ['command', 'seen', 'issue']) {
		it(`is refused when an entry lacks "${name}"`, () => {
			const without = orders.replace(new RegExp(` +${name}: .*\n`, 'v'), '');
			assert.throws(() => parseKnownRed(`#\n${without}${orders}`), `KNOWN-RED.txt, line 2: missing or empty: ${name}`);
		});

		it(`is refused when "${name}" is empty or given twice`, () => {
			const empty = orders.replace(new RegExp(`${name}: .*`, 'v'), `${name}: `);
			assert.throws(() => parseKnownRed(empty), `line 1: missing or empty: ${name}`);
			assert.throws(() => parseKnownRed(`${orders}  ${name}: again`), `line 5: "${name}" is given twice`);
		});
	}

	const refused = {
		'has no title': [orders.replace('orders are placed once', ''), 'line 1: missing or empty: test'],
		'is listed twice': [orders + orders, 'line 5: "orders are placed once" is listed twice'],
		'has an unknown field': [`${orders}  cause: none`, 'line 5: expected'],
		'has a field that is not indented': [orders.replace('  seen', 'seen'), 'line 3: expected'],
		'does not begin with its title': [`  seen: late\n${orders}`, 'line 1: expected'],
	} as const;
	for (const [reason, [content, message]] of Object.entries(refused)) {
		it(`is refused when an entry ${reason}`, () => {
			assert.throws(() => parseKnownRed(content), message);
		});
	}
});

describe('Known-red hooks', () => {
	/** Runs "orders are placed once", "orders end" and, in another suite named "orders", `more`. */
	const run = async (options: KnownRedOptions, more: string[] = []) => {
		const mocha = new Mocha({reporter: Mocha.reporters.Base});
		mocha.rootHooks(createKnownRedHooks(options));
		const ran: string[] = [];
		const suites = [['are placed once', 'end'], more].map(titles => {
			const suite = Mocha.Suite.create(mocha.suite, 'orders');
			for (const title of titles) {
				suite.addTest(new Mocha.Test(title, () => {
					ran.push(title);
				}));
			}

			return suite;
		});
		suites[0].beforeEach(() => {
			ran.push('beforeEach');
		});
		const pending: string[] = [];
		const errors: string[] = [];
		await new Promise<void>(resolve => {
			mocha.run(() => {
				resolve();
			})
				.on('pending', test => pending.push(test.fullTitle()))
				.on('fail', (_, error: Error) => errors.push(error.message));
		});
		return {ran, pending, errors};
	};

	const entries = parseKnownRed(orders);
	const stale = parseKnownRed(orders.replace('once', 'twice'));

	it('skip the listed test and its hooks, and no other', async () => {
		const result = await run({entries, isWholeRun: true}, ['are placed once more', 'are']);
		assert.deepEqual(result, {
			ran: ['beforeEach', 'end', 'are placed once more', 'are'],
			pending: ['orders are placed once'],
			errors: [],
		});
	});

	it('skip no test if none is listed', async () => {
		const result = await run({entries: [], isWholeRun: true});
		assert.deepEqual(result, {ran: ['beforeEach', 'are placed once', 'beforeEach', 'end'], pending: [], errors: []});
	});

	it('fail a whole run when a listed title matches no test', async () => {
		const {errors} = await run({entries: stale, isWholeRun: true});
		assert.deepEqual(errors, ['KNOWN-RED.txt: no test is titled "orders are placed twice"; correct or remove the entry']);
	});

	it('accept a title that matches no test in a run of selected files', async () => {
		const {errors, pending} = await run({entries: stale, isWholeRun: false});
		assert.deepEqual([errors, pending], [[], []]);
	});

	it('fail when a listed title matches more than one test', async () => {
		const {errors, ran} = await run({entries, isWholeRun: false}, ['are placed once']);
		assert.deepEqual(errors, ['KNOWN-RED.txt: 2 tests are titled "orders are placed once"; give them titles of their own']);
		assert.deepEqual(ran, []);
	});
});
