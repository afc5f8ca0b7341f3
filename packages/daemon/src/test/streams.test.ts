import {setTimeout as delay} from 'node:timers/promises';
import {wordAt} from '@hickorywalk/standins';
import {assert} from 'chai';
import {type EmbeddedFleet, startEmbeddedFleet} from '../lib/embedded-fleet.js';

const content = 'hearing record '.repeat(600);
const prompt = `<user>\n${content}\n`;

type Streamed = {words: string[]; ids: number[]; ended: boolean; errorCode: string | undefined};

/** Streams one answer and keeps all that came. */
async function streamOnce(fleet: EmbeddedFleet, tokens: number, onWord?: (count: number) => void): Promise<Streamed> {
	const res = await post(fleet, {
		model: 'wordsmith', stream: true, max_tokens: tokens, messages: [{role: 'user', content}],
	});
	const streamed: Streamed = {
		words: [], ids: [], ended: false, errorCode: undefined,
	};
	let rest = '';
	for await (const chunk of res.body!.pipeThrough(new TextDecoderStream())) {
		const blocks = (rest + chunk).split('\n\n');
		rest = blocks.pop()!;
		for (const block of blocks) {
			readBlock(block, streamed);
			onWord?.(streamed.words.length);
		}
	}

	return streamed;
}

function readBlock(block: string, streamed: Streamed): void {
	const {data} = (/^data: (?<data>.*)$/mv.exec(block)!.groups!);
	if (data === '[DONE]') {
		streamed.ended = true;
		return;
	}

	const event = JSON.parse(data) as {choices?: Array<{delta: {content: string}}>; error?: {code: string}};
	streamed.errorCode = event.error?.code;
	const word = event.choices?.[0]?.delta.content;
	if (word) {
		streamed.words.push(word);
		streamed.ids.push(Number(/^id: (?<id>\d+)$/mv.exec(block)!.groups!.id));
	}
}

async function post(fleet: EmbeddedFleet, body: unknown, signal?: AbortSignal): Promise<Response> {
	return fetch(`${fleet.daemons[0].callersUrl}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${fleet.keys['school-1']}`, 'content-type': 'application/json'},
		body: JSON.stringify(body),
		...(signal && {signal}),
	});
}

const wordsOf = (count: number) => Array.from({length: count}, (_, index) => wordAt('w1', '', prompt, index));

describe('streams', () => {
	let fleet: EmbeddedFleet;
	afterEach(async () => fleet.stop());

	// The caller sees one stream without a seam. The engine dies after 7 of 20
	// tokens; the router goes on at position 7 on the other replica, which dies
	// there too, and then on the first one, which is back with the same version.
	it('goes on after two engine crashes, each token once and in order', async () => {
		fleet = await startEmbeddedFleet({engines: [{}, {}], daemons: 1});
		for (const engine of fleet.engines) {
			engine.fault({kind: 'crash-after', tokens: 7});
		}

		const streamed = await streamOnce(fleet, 20);
		assert.deepEqual(streamed.words, wordsOf(20));
		assert.deepEqual(streamed.ids, wordsOf(20).map((_, index) => index));
		assert.isTrue(streamed.ended);
	});

	// The caller sees a pause, then the rest. The connection to the engine
	// stays open but nothing comes through it any more, while new connections
	// work; only the lack of events can tell, so the router resumes elsewhere.
	it('goes on when a connection goes silent for good', async () => {
		fleet = await startEmbeddedFleet({engines: [{}, {}], daemons: 1, settings: {engines: {silenceMs: 150}}});
		let silenced = false;
		const streamed = await streamOnce(fleet, 20, count => {
			if (count >= 5 && !silenced) {
				silenced = true;
				for (const engine of fleet.engines) {
					engine.fault({kind: 'silent'});
				}
			}
		});
		assert.deepEqual(streamed.words, wordsOf(20));
		assert.isTrue(streamed.ended);
	});

	// The caller sees an error event and no end mark. The only replica that is
	// left runs other weights, so going on there would join two answers.
	it('ends with an error event where no replica of the same version is left', async () => {
		fleet = await startEmbeddedFleet({engines: [{decodeMs: 5}, {version: 'w2'}], daemons: 1});
		let closing: Promise<void> | undefined;
		const streamed = await streamOnce(fleet, 200, count => {
			if (count >= 4) {
				closing ??= fleet.engines[0].close();
			}
		});
		await closing;
		assert.equal(streamed.errorCode, 'engine_failed');
		assert.deepEqual(streamed.words, wordsOf(streamed.words.length));
		assert.isFalse(streamed.ended);
	});

	// The caller sees its own answer. The first engine's answer carries another
	// request's id; it is dropped with its connection and asked for again.
	it('drops an answer that is another request\'s', async () => {
		fleet = await startEmbeddedFleet({engines: [{}, {}], daemons: 1});
		fleet.engines[0].fault({kind: 'cross', count: 1});
		fleet.engines[1].fault({kind: 'cross', count: 1});
		const res = await post(fleet, {model: 'wordsmith', max_tokens: 3, messages: [{role: 'user', content}]});
		const answer = await res.json() as {choices: Array<{message: {content: string}}>; id: string};
		assert.equal(answer.choices[0].message.content, wordsOf(3).join(''));
		assert.equal(answer.id, `chatcmpl-${res.headers.get('x-request-id')}`);
	});

	// The caller closes its connection after a few tokens; the engine would go
	// on for nobody, so its connection is closed too and it cancels the work.
	it('cancels the engine\'s work when the caller goes away', async () => {
		fleet = await startEmbeddedFleet({engines: [{decodeMs: 5}], daemons: 1});
		const abort = new AbortController();
		const res = await post(fleet, {
			model: 'wordsmith', stream: true, max_tokens: 10_000, messages: [{role: 'user', content}],
		}, abort.signal);
		await res.body!.getReader().read();
		abort.abort();
		while (fleet.engines[0].cancelled.size === 0) {
			await delay(5);
		}

		assert.equal(fleet.engines[0].cancelled.size, 1);
	});

	it('shows no engine the key', async () => {
		fleet = await startEmbeddedFleet({engines: [{}], daemons: 1});
		await streamOnce(fleet, 2);
		assert.notInclude(JSON.stringify(fleet.engines[0].seenHeaders), fleet.keys['school-1']);
	});
});
