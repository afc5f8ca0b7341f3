import {assert} from 'chai';
import {z} from 'zod';
import {createLog, setLogWriter} from '../../observability.js';

const lineSchema = z.object({context: z.record(z.string(), z.unknown()), message: z.string()});

type Line = z.infer<typeof lineSchema>;

function captureLines(run: () => void, least?: 'debug'): Line[] {
	const lines: Line[] = [];
	const restore = setLogWriter(line => {
		lines.push(lineSchema.parse(JSON.parse(line)));
	}, least);
	try {
		run();
	} finally {
		restore();
	}

	return lines;
}

describe('createLog', () => {
	it('writes one JSON line with the prefix of the part and the request id', () => {
		const [line] = captureLines(() => {
			createLog('gateway', {daemon: 'hw-1'}).child({requestId: 'r-1'}).info('Answered 100% of it.', {ms: 12});
		});
		assert.equal(line.message, '[gateway] Answered 100% of it.');
		assert.deepInclude(line.context, {daemon: 'hw-1', requestId: 'r-1', ms: 12});
	});

	it('keeps a line feed in a name from starting a line of its own', () => {
		const lines: string[] = [];
		const restore = setLogWriter(line => {
			lines.push(line);
		});
		createLog('gateway').info('Refused.', {service: 'a\n{"message":"[gateway] All is well."}'});
		restore();
		assert.lengthOf(lines, 1);
		assert.notInclude(lines[0], '\n');
	});

	// The caller sees nothing odd. A part hands a whole request to the log by
	// mistake, or an error that quotes a broken body. Without the closed list of
	// fields and the rule on foreign errors, key and prompt would stay in the log.
	it('writes neither a key nor a prompt, whatever it is handed', () => {
		const request = {
			requestId: 'r-2', key: 'hw-secret', prompt: 'a pupil\'s name', headers: {authorization: 'Bearer hw-secret'}, ms: {prompt: 'a pupil\'s name'},
		};
		const lines = captureLines(() => {
			const log = createLog('gateway');
			// @ts-expect-error -- the types refuse it; plain JavaScript would not.
			log.warn('Refused.', request);
			try {
				JSON.parse('a pupil\'s name');
			} catch (error) {
				log.error('Body was not read.', {err: new Error('broken: a pupil\'s name', {cause: error})});
			}
		});
		const text = JSON.stringify(lines);
		assert.notInclude(text, 'hw-secret');
		assert.notInclude(text, 'pupil');
		assert.equal(lines[1].context.error, 'Error');
		assert.equal(lines[1].context.cause, 'SyntaxError');
	});

	it('drops lines below the least level', () => {
		const say = (): void => {
			createLog('gateway').debug('Placed.');
		};

		assert.lengthOf(captureLines(say), 0);
		assert.lengthOf(captureLines(say, 'debug'), 1);
	});
});
