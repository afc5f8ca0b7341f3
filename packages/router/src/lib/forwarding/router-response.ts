/** Sends responses that the router itself generates, and ends each request. */
import {type CallFacts, type CallHeaders} from '../fleet/call-headers.js';
import {sendBuffered} from './attempt.js';
import {type Call} from './call.js';
import {type CallerReply} from './caller-reply.js';
import {type RefusalName, refusals} from './refusals.js';
import {type Decision} from './retry-decision.js';

/** Recipient of a response, and the facts of its request. */
export type Caller = {reply: CallerReply; facts: CallFacts};

/** An error response of the router; `retryAfterMs` is in milliseconds. */
export type RefusalResponse = {name: RefusalName; retryAfterMs?: number | undefined};

/** Sends an error response of the router; `retryAfterMs` is ignored if the request may have run. */
export function sendRefusal(headers: CallHeaders, {reply, facts}: Caller, {name, retryAfterMs}: RefusalResponse): void {
	const {status, text, provesNotRun} = refusals[name];
	const body = JSON.stringify({error: {code: name, message: text}});
	reply.head(status, [
		...headers.forRefusal({requestId: facts.requestId, retryAfterMs: provesNotRun ? retryAfterMs : undefined, challenges: status === 401}),
		'Content-Type',
		'application/json',
		'Content-Length',
		String(body.length),
	]);
	reply.end(new TextEncoder().encode(body));
}

/** Sends the response that a decision calls for, unless one has been sent already; returns the reason for the end. */
export function finishResponse(headers: CallHeaders, call: Call, decision: Decision): string {
	const {reply, errorResponse} = call;
	const reason = decision.kind === 'refuse' ? decision.name : decision.reason;
	if (reply.isDisconnected()) {
		return reason;
	}

	if (reply.isStarted()) {
		// A partial response must not look complete.
		if (decision.kind === 'refuse' || errorResponse !== undefined) {
			reply.abort();
		}

		return reason;
	}

	if (errorResponse !== undefined) {
		sendBuffered(reply, headers, errorResponse);
	} else if (decision.kind === 'refuse') {
		sendRefusal(headers, call, decision);
	}

	return reason;
}
