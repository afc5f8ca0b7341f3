/** An in-memory service that counts executions and injects faults from a script. */
import {Buffer} from 'node:buffer';
import {
	type EndpointTransport, type Exchange, type ExchangeEvents, type OutgoingRequest,
} from 'hickorywalk/orders.js';
import {type ExecutionLedger} from '../execution-ledger.js';
import {type ExchangeFault} from './history.js';

const slowMs = 3000;
/** Longer than the longest call and than the time until the operator settles orders. */
const pausedMs = 300_000;
/** After the caller got the response that the outcome is unknown. */
const lateRunMs = 30_000;
const lateAnswerMs = 60_000;

function headerOf(request: OutgoingRequest, wantedName: string): string {
	const index = request.headers.findIndex((text, position) => position % 2 === 0 && text.toLowerCase() === wantedName);
	return index === -1 ? '' : request.headers[index + 1];
}

/** What a fault's handler can do with one exchange. */
type FaultContext = {
	events: ExchangeEvents;
	/** Counts one execution of the request. */
	run: () => void;
	head: (id?: string, framed?: boolean) => void;
	/** Sends the complete response. */
	respond: () => void;
	/** Sends the complete response to another request. */
	respondWithForeignId: () => void;
	body: Buffer;
	after: (ms: number, act: () => void) => void;
};

const faultHandlers = {
	answered({run, respond: answer}) {
		run();
		answer();
	},
	slow({run, respond: answer, after}) {
		run();
		after(slowMs, answer);
	},
	// For `refused` and `paused`, the transport acts before the request is sent.
	refused() {
		// Nothing was sent.
	},
	paused({run, respond: answer}) {
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
		// No response.
	},
	silent_run({run}) {
		run();
	},
	late_run({run, respond: answer, after}) {
		after(lateRunMs, run);
		after(lateAnswerMs, answer);
	},
	crossed({run, respondWithForeignId: answerAnother}) {
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
} as const satisfies Record<ExchangeFault, (played: FaultContext) => void>;

/** Path prefix under which the service returns the status of a request. */
export const statusPrefix = '/status/';

/** Aborting has no effect: events of an abandoned exchange still arrive, as with a late response. */
const uncancellableExchange: Exchange = {
	pause() {
		throw new Error('Callers in histories read without backpressure and never pause.');
	},
	resume() {
		// Never paused.
	},
	batchReads() {
		// Events arrive one by one.
	},
	abort() {
		// Late events still arrive.
	},
};

/** Creates the transport of one VM. Events are dropped once `isLost` returns true. */
export function createFaultyTransport(ledger: ExecutionLedger, script: ExchangeFault[], isLost: () => boolean): EndpointTransport {
	const applyFault = (request: OutgoingRequest, events: ExchangeEvents, fault: ExchangeFault) => {
		const id = headerOf(request, 'x-request-id');
		const order = headerOf(request, 'x-order');
		const body = Buffer.from(`receipt for ${order}`);
		const head = (answerId = id, framed = true) => {
			events.head({status: 200, headers: ['x-request-id', answerId, ...(framed ? ['content-length', String(body.byteLength)] : [])]});
		};

		if (isLost() || !events.beforeSend(false)) {
			events.failed('withdrawn');
			return;
		}

		faultHandlers[fault]({
			events,
			run() {
				ledger.record(id, order);
			},
			head,
			respond() {
				head();
				events.data(body);
				events.end([]);
			},
			respondWithForeignId() {
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

	/** Status requests have no faults and return whether the request has run so far. */
	const sendStatus = (request: OutgoingRequest, events: ExchangeEvents) => {
		const requestId = request.path.slice(statusPrefix.length);
		const body = Buffer.from(JSON.stringify({ran: ledger.executions.has(requestId)}));
		if (events.beforeSend(false)) {
			events.head({status: 200, headers: ['content-length', String(body.byteLength)]});
			events.data(body);
			events.end([]);
		}
	};

	return {
		send(request, events) {
			if (request.path.startsWith(statusPrefix)) {
				const guarded = dropEventsWhenLost(events, isLost);
				setTimeout(() => {
					sendStatus(request, guarded);
				}, 1);
				return uncancellableExchange;
			}

			const fault = script.shift() ?? 'answered';
			const guarded = dropEventsWhenLost(events, isLost);
			setTimeout(() => {
				if (fault === 'refused') {
					guarded.failed('connect_failed');
				} else {
					applyFault(request, guarded, fault);
				}
			}, fault === 'paused' ? pausedMs : 1);
			return uncancellableExchange;
		},
		allowConnectionReuse() {
			// No effect: every exchange has its own connection.
		},
		forgetConnections() {
			// No effect either.
		},
		async close() {
			// Holds no resources.
		},
	};
}

function dropEventsWhenLost(events: ExchangeEvents, isLost: () => boolean): ExchangeEvents {
	const unlessLost = <Arguments extends unknown[]>(act: (...args: Arguments) => void) => (...args: Arguments) => {
		if (!isLost()) {
			act(...args);
		}
	};

	return {
		beforeSend: events.beforeSend,
		progress: unlessLost(events.progress),
		head: unlessLost(events.head),
		data: unlessLost(events.data),
		end: unlessLost(events.end),
		failed: unlessLost(events.failed),
	};
}
