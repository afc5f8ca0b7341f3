/** Answers that the router gives itself, and the last step of each request. */
import {type CallFacts, type CallHeaders} from '../fleet/call-headers.js';
import {sendWhole} from './attempt.js';
import {type Call} from './call.js';
import {type CallerReply} from './caller-reply.js';
import {type RefusalName, refusals} from './refusals.js';
import {type Verdict} from './verdict.js';

/** Who gets an answer, and to what. */
export type Caller = {reply: CallerReply; facts: CallFacts};

/** An answer of the router's own; the pause is in milliseconds. */
export type OwnRefusal = {name: RefusalName; retryAfterMs?: number | undefined};

/** Gives an answer of the router's own; `retryAfterMs` only counts where nothing ran. */
export function refuse(headers: CallHeaders, {reply, facts}: Caller, {name, retryAfterMs}: OwnRefusal): void {
	const {status, text, provesNotRun} = refusals[name];
	const body = JSON.stringify({error: {code: name, message: text}});
	reply.head(status, [
		...headers.ownAnswer({requestId: facts.requestId, retryAfterMs: provesNotRun ? retryAfterMs : undefined, challenges: status === 401}),
		'Content-Type',
		'application/json',
		'Content-Length',
		String(body.length),
	]);
	reply.end(new TextEncoder().encode(body));
}

/** Gives the caller what a verdict says, unless it has its answer already; returns the reason. */
export function conclude(headers: CallHeaders, call: Call, verdict: Verdict): string {
	const {reply, errorAnswer} = call;
	const reason = verdict.kind === 'refuse' ? verdict.name : verdict.reason;
	if (reply.isGone()) {
		return reason;
	}

	if (reply.isStarted()) {
		// Half an answer must not look whole.
		if (verdict.kind === 'refuse' || errorAnswer !== undefined) {
			reply.cut();
		}

		return reason;
	}

	if (errorAnswer !== undefined) {
		sendWhole(reply, headers, errorAnswer);
	} else if (verdict.kind === 'refuse') {
		refuse(headers, call, verdict);
	}

	return reason;
}
