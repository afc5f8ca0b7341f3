/** A service in memory that counts executions and fails by a script. */
import {Buffer} from 'node:buffer';
import {
	type EndpointTransport, type Exchange, type ExchangeEvents, type OutgoingRequest,
} from 'hickorywalk/orders.js';
import {type ExecutionLedger} from '../execution-ledger.js';
import {type ExchangeFault} from './history.js';

const slowMs = 3000;
/** Longer than any call lives, and than an operator waits. */
const pausedMs = 300_000;
/** After the caller has been told that the outcome is unknown. */
const lateRunMs = 30_000;
const lateAnswerMs = 60_000;

function headerOf(request: OutgoingRequest, wanted: string): string {
	const index = request.headers.findIndex((text, position) => position % 2 === 0 && text.toLowerCase() === wanted);
	return index === -1 ? '' : request.headers[index + 1];
}

/** One exchange as a fault's handler sees it. */
type Played = {
	events: ExchangeEvents;
	/** Counts one execution. */
	run: () => void;
	head: (id?: string, framed?: boolean) => void;
	/** The whole answer. */
	answer: () => void;
	/** The whole answer to another request. */
	answerAnother: () => void;
	body: Buffer;
	after: (ms: number, act: () => void) => void;
};

const plays = {
	answered({run, answer}) {
		run();
		answer();
	},
	slow({run, answer, after}) {
		run();
		after(slowMs, answer);
	},
	// These two fail before the request leaves.
	refused() {
		// Nothing left.
	},
	paused({run, answer}) {
		run();
		answer();
	},
	reset_unrun({events}) {
		events.failed('reset');
	},
	reset_run({events, run}) {
		run();
		events.failed('reset');
	},
	silent_unrun() {
		// Nothing ever comes.
	},
	silent_run({run}) {
		run();
	},
	late_run({run, answer, after}) {
		after(lateRunMs, run);
		after(lateAnswerMs, answer);
	},
	crossed({run, answerAnother}) {
		run();
		answerAnother();
	},
	unframed({run, head}) {
		run();
		head(undefined, false);
	},
	truncated({events, run, head, body}) {
		run();
		head();
		events.data(body.subarray(0, body.byteLength / 2));
		events.failed('reset');
	},
} as const satisfies Record<ExchangeFault, (played: Played) => void>;

/** Path under which the service tells what became of a request. */
export const statusPrefix = '/status/';

/** Abandoned exchanges go on to speak, as a late answer does. */
const deafExchange: Exchange = {
	pause() {
		throw new Error('These callers read at once.');
	},
	resume() {
		// Never paused.
	},
	abort() {
		// Late events still come.
	},
};

/** Creates the transport of one VM. Events do not reach a VM that `isLost`. */
export function createFaultyTransport(ledger: ExecutionLedger, script: ExchangeFault[], isLost: () => boolean): EndpointTransport {
	const play = (request: OutgoingRequest, events: ExchangeEvents, fault: ExchangeFault) => {
		const id = headerOf(request, 'x-request-id');
		const order = headerOf(request, 'x-order');
		const body = Buffer.from(`receipt for ${order}`);
		const head = (answerId = id, framed = true) => {
			events.head({status: 200, headers: ['x-request-id', answerId, ...(framed ? ['content-length', String(body.byteLength)] : [])]});
		};

		if (isLost() || !events.leaving(false)) {
			events.failed('withdrawn');
			return;
		}

		plays[fault]({
			events,
			run() {
				ledger.run(id, order);
			},
			head,
			answer() {
				head();
				events.data(body);
				events.end([]);
			},
			answerAnother() {
				head('another-request');
				events.data(Buffer.from('receipt for another'));
				events.end([]);
			},
			body,
			after(ms, act) {
				setTimeout(act, ms);
			},
		});
	};

	/** A look-up works, and says what has run so far. */
	const tellStatus = (request: OutgoingRequest, events: ExchangeEvents) => {
		const asked = request.path.slice(statusPrefix.length);
		const body = Buffer.from(JSON.stringify({ran: ledger.executions.has(asked)}));
		if (events.leaving(false)) {
			events.head({status: 200, headers: ['content-length', String(body.byteLength)]});
			events.data(body);
			events.end([]);
		}
	};

	return {
		send(request, events) {
			if (request.path.startsWith(statusPrefix)) {
				const guarded = silencedWhenLost(events, isLost);
				setTimeout(() => {
					tellStatus(request, guarded);
				}, 1);
				return deafExchange;
			}

			const fault = script.shift() ?? 'answered';
			const guarded = silencedWhenLost(events, isLost);
			setTimeout(() => {
				if (fault === 'refused') {
					guarded.failed('connect_failed');
				} else {
					play(request, guarded, fault);
				}
			}, fault === 'paused' ? pausedMs : 1);
			return deafExchange;
		},
		trustIds() {
			// Every exchange has its own connection.
		},
		async close() {
			// Nothing is held.
		},
	};
}

function silencedWhenLost(events: ExchangeEvents, isLost: () => boolean): ExchangeEvents {
	const unlessLost = <Arguments extends unknown[]>(act: (...args: Arguments) => void) => (...args: Arguments) => {
		if (!isLost()) {
			act(...args);
		}
	};

	return {
		leaving: events.leaving,
		progress: unlessLost(events.progress),
		head: unlessLost(events.head),
		data: unlessLost(events.data),
		end: unlessLost(events.end),
		failed: unlessLost(events.failed),
	};
}
