/** Admission of requests: authentication, access to the service, token quota, and the fair queue. */
import {type IncomingHttpHeaders} from 'node:http';
import {type ModelService} from '../configuration/document.js';
import {type DocumentIndex} from '../configuration/document-index.js';
import {type FairQueue, type QueueTicket} from '../fairness/fair-queue.js';
import {type Caller, type KeyRing} from '../configuration/key-ring.js';
import {type Reservation, type TokenLimiter} from '../serving/ports.js';
import {GatewayError} from './gateway-errors.js';
import {type ModelRequest} from './model-request.js';

const bearer = /^bearer +(?<key>\S+)$/iv;

/** Reads the API key from the headers; empty when there is none. */
export function presentedKey(headers: IncomingHttpHeaders): string {
	const fromBearer = bearer.exec(headers.authorization ?? '')?.groups?.key;
	const fromHeader = headers['x-api-key'];
	return fromBearer ?? (typeof fromHeader === 'string' ? fromHeader : '');
}

/**
 * Authenticates the caller.
 *
 * @throws {GatewayError} `invalid_api_key`; the message never contains the key.
 */
export function authenticate(keyRing: KeyRing, headers: IncomingHttpHeaders): Caller {
	const caller = keyRing.authenticate(presentedKey(headers));
	if (caller === undefined) {
		throw new GatewayError('invalid_api_key', 'The key is missing, unknown or withdrawn. Send it as "Authorization: Bearer KEY".');
	}

	return caller;
}

/**
 * Finds the service that serves the requested model.
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

const notReadyRetryMs = 1000;

/**
 * Returns the active configuration.
 *
 * @throws {GatewayError} `not_ready` while there is no configuration that is safe to serve with.
 */
export function requireConfiguration(index: DocumentIndex | undefined): DocumentIndex {
	if (index === undefined) {
		throw new GatewayError('not_ready', 'This router can\'t serve now. Nothing was run.', notReadyRetryMs);
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
	/** Milliseconds that the request may wait in the queue. */
	longestTurnWaitMs: number;
	signal: AbortSignal;
};

/** The result of an admitted request. */
export type Admission = {
	priority: number;
	/** Returns unused tokens and leaves the queue; must be called exactly once, also after a failure. */
	release: (usedTokens: number) => void;
};

/**
 * Reserves the request's tokens, then waits in the fair queue.
 *
 * @throws {GatewayError} `burst_exceeded`, `rate_limited` or `overloaded`; in all cases nothing was run.
 */
export async function admit(options: AdmitOptions): Promise<Admission> {
	const {workspace} = options.caller;
	const tokens = options.promptTokens + options.maxOutputTokens;
	const result = await options.limiter.reserve(workspace.name, tokens, options.longestTokenWaitMs);
	if (!result.granted && !Number.isFinite(result.retryAfterMs)) {
		// No wait can end in a grant, so the error has no retry time.
		const why = `The request may take ${tokens} tokens, more than the whole burst of workspace ${workspace.name} (${workspace.burstTokens}).`;
		throw new GatewayError('burst_exceeded', `${why} Lower max_tokens or shorten the prompt. Nothing was run.`);
	}

	if (!result.granted) {
		throw new GatewayError('rate_limited', `Workspace ${workspace.name} is past its rate. Nothing was run.`, result.retryAfterMs);
	}

	const {reservation} = result;
	try {
		const ticket = await waitForTurn(options, tokens);
		return {priority: ticket.priority, release: createRelease(reservation, ticket)};
	} catch (error) {
		reservation.settle(0);
		throw error;
	}
}

function createRelease(reservation: Reservation, ticket: QueueTicket): Admission['release'] {
	return usedTokens => {
		reservation.settle(usedTokens);
		ticket.release(usedTokens);
	};
}

async function waitForTurn(options: AdmitOptions, cost: number): Promise<QueueTicket> {
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
