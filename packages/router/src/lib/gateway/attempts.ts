/**
 * Runs one request on one endpoint after another until it is answered. A
 * request for a model changes nothing, so running it again is safe; what the
 * caller already has is not sent again (see stream-relay.ts).
 */
import {type LayerError} from '../errors/layer-error.js';
import {
	EndpointBrokenError, EndpointCrossedError, EndpointRefusedError, EndpointSilentError, EndpointUnreachableError,
} from '../endpoints/endpoint-errors.js';
import {
	type EngineLoad, type Outcome, type Placement, type PlacementRequest, type Placer, type RetryBudget,
} from '../serving/ports.js';
import {GatewayError} from './gateway-errors.js';

/** What one attempt learned, also when it failed. */
export type AttemptReport = {
	load?: EngineLoad;
	cachedTokens: number;
	promptTokens: number;
	outputTokens: number;
	firstTokenMs?: number;
};

/** Runs the request on one endpoint; fills the report as it goes. */
export type Attempt = (placement: Placement, report: AttemptReport) => Promise<void>;

/** Options of {@link runAttempts}. */
export type AttemptOptions = {
	placer: Placer;
	budget: RetryBudget;
	request: Omit<PlacementRequest, 'excluded'>;
	/** Most endpoints to try, the first included. */
	mostAttempts: number;
	signal: AbortSignal;
	attempt: Attempt;
	/** Hears of each failed attempt. */
	onFailure: (endpoint: string, error: LayerError) => void;
};

/** Milliseconds after which an endpoint that failed may be asked again. */
const comeBackMs = 1000;

const endpointErrors = [
	EndpointBrokenError, EndpointCrossedError, EndpointRefusedError, EndpointSilentError, EndpointUnreachableError,
] as const;

/** Refusals by which an engine says that it ran nothing. */
const statusesNotRun = new Set([409, 429]);
const statusVersionRefused = 409;

/**
 * Tries endpoints until one answers.
 *
 * @throws {GatewayError} `no_endpoint` when provably nothing ran, else `engine_failed`.
 */
export async function runAttempts(options: AttemptOptions): Promise<void> {
	const excluded = new Set<string>();
	let mayHaveRun = false;
	let lastError: LayerError | undefined;
	options.budget.deposit();
	for (let count = 0; count < options.mostAttempts; count++) {
		options.signal.throwIfAborted();
		const isFree = lastError === undefined || isVersionRefusal(lastError);
		if (!isFree && !options.budget.withdraw()) {
			break;
		}

		const request = {...options.request, excluded};
		const placement = placeOrAgain(options.placer, request, excluded);
		if (placement === undefined) {
			break;
		}

		const error = await runOne(options, request, placement);
		if (error === undefined) {
			return;
		}

		lastError = error;
		excluded.add(placement.endpoint);
		mayHaveRun ||= !provesNotRun(error);
		options.onFailure(placement.endpoint, error);
	}

	throw giveUp(mayHaveRun, lastError);
}

/**
 * Where every endpoint has failed this request once, one that came back since
 * is better than none: a small service has a single replica.
 */
function placeOrAgain(placer: Placer, request: PlacementRequest, excluded: Set<string>): Placement | undefined {
	const placement = placer.place(request);
	if (placement !== undefined || excluded.size === 0) {
		return placement;
	}

	excluded.clear();
	return placer.place(request);
}

async function runOne(options: AttemptOptions, request: PlacementRequest, placement: Placement): Promise<LayerError | undefined> {
	const report: AttemptReport = {cachedTokens: 0, promptTokens: request.promptTokens, outputTokens: 0};
	const finish = (result: Outcome['result']) => {
		options.placer.finished(request, placement, {endpoint: placement.endpoint, result, ...report});
	};

	options.placer.started(request, placement);
	try {
		await options.attempt(placement, report);
	} catch (error) {
		const isEndpointError = isBlamedOnEndpoint(error);
		if (error instanceof EndpointRefusedError && error.load !== undefined) {
			options.placer.observe(placement.endpoint, error.load);
		}

		finish(isEndpointError && !isVersionRefusal(error) ? 'failed' : 'cancelled');
		if (isEndpointError) {
			return error;
		}

		throw error;
	}

	finish('answered');
	return undefined;
}

function isBlamedOnEndpoint(error: unknown): error is LayerError {
	return endpointErrors.some(kind => error instanceof kind);
}

/**
 * An engine that has other weights, or is loading some, refuses at once. That is
 * no sign of trouble and costs it nothing: it neither counts against the
 * endpoint nor takes from the budget, which a change of weights would else use
 * up while healthy replicas stand by.
 */
function isVersionRefusal(error: unknown): boolean {
	return error instanceof EndpointRefusedError && error.status === statusVersionRefused;
}

function provesNotRun(error: LayerError): boolean {
	return error instanceof EndpointUnreachableError
		|| (error instanceof EndpointRefusedError && statusesNotRun.has(error.status));
}

function giveUp(mayHaveRun: boolean, cause: LayerError | undefined): GatewayError {
	const options = cause === undefined ? undefined : {cause};
	return mayHaveRun
		? new GatewayError('engine_failed', 'No endpoint gave a whole answer. Send the request again.', comeBackMs, options)
		: new GatewayError('no_endpoint', 'No endpoint can take the request now. Nothing was run.', comeBackMs, options);
}
