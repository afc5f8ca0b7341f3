/** Requests of the demo: the services of both users on a small scale. */

/** Generates text of about the given number of tokens, at 4 characters each; equal seeds give equal text. */
function generateText(seed: string, tokens: number): string {
	let text = '';
	for (let line = 0; text.length < tokens * 4; line++) {
		text += `${seed} line ${line}: see the rules of this part. `;
	}

	return text;
}

/** A chat request on behalf of a workspace. */
export type DemoRequest = {
	workspace: string;
	model: string;
	messages: Array<{role: 'system' | 'user'; content: string}>;
};

const carnivals = ['northern', 'southern'];
const houses = ['wattle', 'waratah', 'banksia'];
const childrenPerHouse = 8;
const questionsPerRecord = 12;

/** Certificates: each child's prompt begins with the shared prompts of its carnival and its house. */
export function certificateRequests(): DemoRequest[] {
	const requests: DemoRequest[] = [];
	for (let child = 0; child < childrenPerHouse; child++) {
		for (const carnival of carnivals) {
			for (const house of houses) {
				requests.push({
					workspace: 'school-1',
					model: 'wordsmith',
					messages: [
						{role: 'system', content: generateText(`carnival ${carnival}`, 4096)},
						{role: 'system', content: generateText(`house ${house}`, 2048)},
						{role: 'user', content: `Draft the certificate of child ${child}.`},
					],
				});
			}
		}
	}

	return requests;
}

/** Transcripts: short questions about a long hearing record, which follows shared standing rules. */
export function transcriptRequests(): DemoRequest[] {
	const requests: DemoRequest[] = [];
	for (let question = 0; question < questionsPerRecord; question++) {
		for (const record of ['a', 'b']) {
			requests.push({
				workspace: 'school-2',
				model: 'shoki-lm',
				messages: [
					{role: 'system', content: generateText('standing rules', 3072)},
					{role: 'system', content: generateText(`hearing ${record}`, 8192)},
					{role: 'user', content: `What is the fee of part ${question}?`},
				],
			});
		}
	}

	return requests;
}
