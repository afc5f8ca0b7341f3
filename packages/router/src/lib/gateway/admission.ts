/** Decides whether a request may run: its key, its service, its tokens, its turn. */
import {type IncomingHttpHeaders} from 'node:http';
import {type ModelService} from '../configuration/document.js';
import {type DocumentIndex} from '../configuration/document-index.js';
import {type FairQueue, type QueueTicket} from '../fairness/fair-queue.js';
import {type Caller, type KeyRing} from '../configuration/key-ring.js';
import {type Reservation, type TokenLimiter} from '../serving/ports.js';
import {GatewayError} from './gateway-errors.js';
import {type ModelRequest} from './model-request.js';

const bearer = /^bearer +(?<key>\S+)$/iv;

/** Reads the key that a caller presented; empty when there is none. */
export function presentedKey(headers: IncomingHttpHeaders): string {
	const fromBearer = bearer.exec(headers.authorization ?? '')?.groups?.key;
	const fromHeader = headers['x-api-key'];
	return fromBearer ?? (typeof fromHeader === 'string' ? fromHeader : '');
}

/**
 * Tells whose request it is.
 *
 * @throws {GatewayError} `invalid_api_key`; the text never repeats the key.
 */
export function authenticate(keyRing: KeyRing, headers: IncomingHttpHeaders): Caller {
	const caller = keyRing.authenticate(presentedKey(headers));
	if (caller === undefined) {
		throw new GatewayError('invalid_api_key', 'The key is missing, unknown or withdrawn. Send it as "Authorization: Bearer KEY".');
	}

	return caller;
}

/**
 * Finds the service behind a model's name.
 *
 * @throws {GatewayError} `model_not_found` or `service_forbidden`.
 */
export function findModelService(index: DocumentIndex, caller: Caller, request: ModelRequest): ModelService {
	const service = index.modelService(request.model);
	if (service === undefined) {
		throw new GatewayError('model_not_found', `There is no model ${request.model}. GET /v1/models lists them.`);
	}

	requireAccess(caller, service.name);
	if (request.adapter !== '' && !service.adapters.includes(request.adapter)) {
		throw new GatewayError('model_not_found', `Model ${request.model} has no adapter ${request.adapter}.`);
	}

	return service;
}

/**
 * Checks that a workspace may call a service.
 *
 * @throws {GatewayError} `service_forbidden`.
 */
export function requireAccess(caller: Caller, service: string): void {
	if (!caller.workspace.services.includes(service)) {
		throw new GatewayError('service_forbidden', `Workspace ${caller.workspace.name} may not call ${service}.`);
	}
}

const comeBackMs = 1000;

/**
 * Takes the configuration in force.
 *
 * @throws {GatewayError} `not_ready` while there is none that may be served by.
 */
export function requireConfiguration(index: DocumentIndex | undefined): DocumentIndex {
	if (index === undefined) {
		throw new GatewayError('not_ready', 'This router can\'t serve now. Nothing was run.', comeBackMs);
	}

	return index;
}

/** Options of {@link admit}. */
export type AdmitOptions = {
	limiter: TokenLimiter;
	queue: FairQueue;
	caller: Caller;
	promptTokens: number;
	maxOutputTokens: number;
	/** Milliseconds that the request may wait for tokens. */
	longestTokenWaitMs: number;
	/** Milliseconds that the request may wait for its turn. */
	longestTurnWaitMs: number;
	signal: AbortSignal;
};

/** A request that may run. */
export type Admission = {
	priority: number;
	/** Gives back what was not used; called once, however the request ended. */
	release: (usedTokens: number) => void;
};

/**
 * Takes the request's tokens, then waits for its turn.
 *
 * @throws {GatewayError} `burst_exceeded`, `rate_limited` or `overloaded`, all true to "not run".
 */
export async function admit(options: AdmitOptions): Promise<Admission> {
	const {workspace} = options.caller;
	const tokens = options.promptTokens + options.maxOutputTokens;
	const result = await options.limiter.reserve(workspace.name, tokens, options.longestTokenWaitMs);
	if (!result.granted && !Number.isFinite(result.retryAfterMs)) {
		// No wait would ever end in a grant, so no time to come back is told.
		const why = `The request may take ${tokens} tokens, more than the whole burst of workspace ${workspace.name} (${workspace.burstTokens}).`;
		throw new GatewayError('burst_exceeded', `${why} Lower max_tokens or shorten the prompt. Nothing was run.`);
	}

	if (!result.granted) {
		throw new GatewayError('rate_limited', `Workspace ${workspace.name} is past its rate. Nothing was run.`, result.retryAfterMs);
	}

	const {reservation} = result;
	try {
		const ticket = await takeTurn(options, tokens);
		return {priority: ticket.priority, release: releaseOf(reservation, ticket)};
	} catch (error) {
		reservation.settle(0);
		throw error;
	}
}

function releaseOf(reservation: Reservation, ticket: QueueTicket): Admission['release'] {
	return usedTokens => {
		reservation.settle(usedTokens);
		ticket.release(usedTokens);
	};
}

async function takeTurn(options: AdmitOptions, cost: number): Promise<QueueTicket> {
	const {workspace} = options.caller;
	const result = await options.queue.enter({
		workspace: workspace.name,
		weight: workspace.weight,
		cost,
		longestWaitMs: options.longestTurnWaitMs,
		signal: options.signal,
	});
	if (result.granted) {
		return result.ticket;
	}

	options.signal.throwIfAborted();
	throw new GatewayError('overloaded', 'The service is busy. Nothing was run.', result.retryAfterMs);
}
