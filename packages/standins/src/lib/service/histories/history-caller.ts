/** A caller in memory, which remembers what it was told. */
import {Buffer} from 'node:buffer';
import {type AnswerSink, type CallOutcome, outcomeHeader} from 'hickorywalk/orders.js';

/** What a caller knows at the end. */
export type CallerView = {
	/** What the answer's outcome header said; empty when no answer began. */
	outcome: CallOutcome | '';
	body: string;
	/** The answer came to its end. */
	whole: boolean;
	cut: boolean;
};

/** A caller's connection; `lose` ends it with the VM that it leads to. */
export type HistoryCaller = {sink: AnswerSink; view: () => CallerView; lose: () => void};

/** Creates a caller that reads at once. */
export function createHistoryCaller(): HistoryCaller {
	const chunks: Uint8Array[] = [];
	let outcome: CallerView['outcome'] = '';
	let whole = false;
	let cut = false;
	let lost = false;
	return {
		sink: {
			start({headers}) {
				outcome = headers[headers.indexOf(outcomeHeader) + 1] as CallOutcome;
			},
			write(chunk) {
				chunks.push(chunk);
				return true;
			},
			end() {
				whole = !lost && !cut;
			},
			cut() {
				cut = true;
			},
			isGone: () => lost,
			onDrain() {
				// Never full.
			},
			onGone() {
				// A lost VM does nothing more, so nobody needs to be told.
			},
		},
		view: () => ({
			outcome, body: Buffer.concat(chunks).toString('utf8'), whole, cut: cut || (lost && !whole),
		}),
		lose() {
			lost = true;
		},
	};
}
