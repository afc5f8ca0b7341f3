import {assert} from 'chai';
import {z} from 'zod';
import {createLog, setLogWriter} from '../../observability.js';

const lineSchema = z.object({context: z.record(z.string(), z.unknown()), message: z.string()});

type Line = z.infer<typeof lineSchema>;

function captureLines(run: () => void, minLevel?: 'debug'): Line[] {
	const lines: Line[] = [];
	const restore = setLogWriter(line => {
		lines.push(lineSchema.parse(JSON.parse(line)));
	}, minLevel);
	try {
		run();
	} finally {
		restore();
	}

	return lines;
}

describe('createLog', () => {
	it('writes one JSON line with the prefix of the component and the request id', () => {
		const [line] = captureLines(() => {
			createLog('gateway', {daemon: 'hw-1'}).child({requestId: 'r-1'}).info('Answered 100% of it.', {ms: 12});
		});
		assert.equal(line.message, '[gateway] Answered 100% of it.');
		assert.deepInclude(line.context, {daemon: 'hw-1', requestId: 'r-1', ms: 12});
	});

	it('escapes a line feed in a field, so that it starts no new line', () => {
		const lines: string[] = [];
		const restore = setLogWriter(line => {
			lines.push(line);
		});
		createLog('gateway').info('Refused.', {service: 'a\n{"message":"[gateway] All is well."}'});
		restore();
		assert.lengthOf(lines, 1);
		assert.notInclude(lines[0], '\n');
	});

	// Guards against API keys and prompts in logs. A component may pass a whole
	// request by mistake, or an error whose message quotes an invalid body. Callers
	// notice nothing of it.
	it('writes neither a key nor a prompt, whatever it is passed', () => {
		const request = {
			requestId: 'r-2', key: 'hw-secret', prompt: 'a pupil\'s name', headers: {authorization: 'Bearer hw-secret'}, ms: {prompt: 'a pupil\'s name'},
		};
		const lines = captureLines(() => {
			const log = createLog('gateway');
			// @ts-expect-error -- rejected by the types, but possible in plain JavaScript.
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

	it('drops lines below the minimum level', () => {
		const writeDebugLine = (): void => {
			createLog('gateway').debug('Placed.');
		};

		assert.lengthOf(captureLines(writeDebugLine), 0);
		assert.lengthOf(captureLines(writeDebugLine, 'debug'), 1);
	});
});
