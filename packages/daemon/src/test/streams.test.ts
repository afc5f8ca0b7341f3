import {setTimeout as delay} from 'node:timers/promises';
import {wordAt} from '@hickorywalk/standins';
import {assert} from 'chai';
import {type EmbeddedFleet, startEmbeddedFleet} from '../lib/embedded-fleet.js';

const content = 'hearing record '.repeat(600);
const prompt = `<user>\n${content}\n`;

type Streamed = {words: string[]; ids: number[]; ended: boolean; errorCode: string | undefined};

/** Streams one answer and collects its words, event ids and end. */
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

	// The engine crashes after 7 of 20 tokens. The router resumes at position 7 on
	// the other replica, which crashes there too, and then on the first one, which is
	// back with the same version. The caller sees one uninterrupted stream.
	it('resumes after two engine crashes, with each token once and in order', async () => {
		fleet = await startEmbeddedFleet({engines: [{}, {}], daemons: 1});
		for (const engine of fleet.engines) {
			engine.fault({kind: 'crash-after', tokens: 7});
		}

		const streamed = await streamOnce(fleet, 20);
		assert.deepEqual(streamed.words, wordsOf(20));
		assert.deepEqual(streamed.ids, wordsOf(20).map((_, index) => index));
		assert.isTrue(streamed.ended);
	});

	// The connection to the engine stays open but delivers nothing more, while new
	// connections work. Only the lack of events shows it, so the router resumes on
	// another connection; the caller sees a pause, then the rest.
	it('resumes when an open connection delivers nothing more', async () => {
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

	// The only replica left runs other weights, so resuming there would join two
	// different answers. The caller gets an error event and no `[DONE]`.
	it('ends with an error event when no replica of the same version is left', async () => {
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

	// The first answer of an engine carries another request's id. The router drops
	// it, closes its connection and asks again, so the caller gets its own answer.
	it('drops an answer that belongs to another request', async () => {
		fleet = await startEmbeddedFleet({engines: [{}, {}], daemons: 1});
		fleet.engines[0].fault({kind: 'cross', count: 1});
		fleet.engines[1].fault({kind: 'cross', count: 1});
		const res = await post(fleet, {model: 'wordsmith', max_tokens: 3, messages: [{role: 'user', content}]});
		const answer = await res.json() as {choices: Array<{message: {content: string}}>; id: string};
		assert.equal(answer.choices[0].message.content, wordsOf(3).join(''));
		assert.equal(answer.id, `chatcmpl-${res.headers.get('x-request-id')}`);
	});

	// The caller closes its connection after a few tokens. The engine would generate
	// tokens that nobody reads, so the router closes the engine's connection too and
	// the engine cancels the work.
	it('cancels the engine\'s work when the caller disconnects', async () => {
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

	it('doesn\'t forward the caller\'s key to engines', async () => {
		fleet = await startEmbeddedFleet({engines: [{}], daemons: 1});
		await streamOnce(fleet, 2);
		assert.notInclude(JSON.stringify(fleet.engines[0].seenHeaders), fleet.keys['school-1']);
	});
});
