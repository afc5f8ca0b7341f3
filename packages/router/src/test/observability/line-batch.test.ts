import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createLineBatch, type LineBatch} from '../../observability.js';

describe('createLineBatch', () => {
	let clock: FakeTimers.Clock;
	let written: string[];
	let batch: LineBatch;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
		written = [];
		batch = createLineBatch({
			write(text) {
				written.push(text);
			},
			flushMs: 250,
			maxChars: 20,
		});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('writes lines in one batch, at most `flushMs` after the first', () => {
		// Guards against one system call per line.
		batch.add('one');
		clock.tick(200);
		batch.add('two');
		assert.lengthOf(written, 0);
		clock.tick(50);
		assert.deepEqual(written, ['one\ntwo\n']);
		batch.add('three');
		clock.tick(250);
		assert.deepEqual(written, ['one\ntwo\n', 'three\n']);
	});

	it('writes a batch of `maxChars` immediately', () => {
		for (const line of ['123456789', '123456789', 'rest']) {
			batch.add(line);
		}

		assert.deepEqual(written, ['123456789\n123456789\n']);
	});

	it('holds no timer while nothing is buffered or after a flush', () => {
		batch.flush();
		batch.add('last');
		batch.flush();
		assert.equal(clock.countTimers(), 0);
		assert.deepEqual(written, ['last\n']);
	});
});
