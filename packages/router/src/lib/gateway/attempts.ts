/**
 * Retries a request on other endpoints until one answers. Model requests have
 * no side effects, so a retry is safe; events that the caller already received
 * are not sent again (see stream-relay.ts).
 */
import {type LayerError} from '../errors/layer-error.js';
import {
	EndpointBrokenError, EndpointCrossedError, EndpointRefusedError, EndpointSilentError, EndpointUnreachableError,
} from '../endpoints/endpoint-errors.js';
import {
	type EngineLoad, type Outcome, type Placement, type PlacementRequest, type Placer, type RetryBudget,
} from '../serving/ports.js';
import {GatewayError} from './gateway-errors.js';

/** Load and token counts of one attempt, also filled in when it fails. */
export type AttemptReport = {
	load?: EngineLoad;
	cachedTokens: number;
	promptTokens: number;
	outputTokens: number;
	firstTokenMs?: number;
};

/** Runs the request on one endpoint and fills in the report as data arrives. */
export type Attempt = (placement: Placement, report: AttemptReport) => Promise<void>;

/** Options of {@link runAttempts}. */
export type AttemptOptions = {
	placer: Placer;
	budget: RetryBudget;
	request: Omit<PlacementRequest, 'excluded'>;
	/** Maximum number of attempts, including the first. */
	mostAttempts: number;
	signal: AbortSignal;
	attempt: Attempt;
	/** Called for each failed attempt. */
	onFailure: (endpoint: string, error: LayerError) => void;
};

/** Retry time that callers are given after endpoint failures. */
const defaultRetryAfterMs = 1000;

const endpointErrors = [
	EndpointBrokenError, EndpointCrossedError, EndpointRefusedError, EndpointSilentError, EndpointUnreachableError,
] as const;

/** Statuses with which an engine refuses a request without running it. */
const statusesNotRun = new Set([409, 429]);
const statusVersionRefused = 409;

/**
 * Runs the request on endpoints until one answers.
 *
 * @throws {GatewayError} `no_endpoint` when it is certain that nothing ran, else `engine_failed`.
 */
export async function runAttempts(options: AttemptOptions): Promise<void> {
	const excluded = new Set<string>();
	let mayHaveRun = false;
	let lastError: LayerError | undefined;
	options.budget.deposit();
	for (let count = 0; count < options.mostAttempts; count++) {
		options.signal.throwIfAborted();
		const needsNoBudget = lastError === undefined || isVersionRefusal(lastError);
		if (!needsNoBudget && !options.budget.withdraw()) {
			break;
		}

		const request = {...options.request, excluded};
		const placement = placeOrRetryExcluded(options.placer, request, excluded);
		if (placement === undefined) {
			break;
		}

		const error = await runAttempt(options, request, placement);
		if (error === undefined) {
			return;
		}

		lastError = error;
		excluded.add(placement.endpoint);
		mayHaveRun ||= !provesNotRun(error);
		options.onFailure(placement.endpoint, error);
	}

	throw createFinalError(mayHaveRun, lastError);
}

/**
 * When every endpoint has failed this request once, retries them all, since one
 * may have recovered: a small service may have a single replica.
 */
function placeOrRetryExcluded(placer: Placer, request: PlacementRequest, excluded: Set<string>): Placement | undefined {
	const placement = placer.place(request);
	if (placement !== undefined || excluded.size === 0) {
		return placement;
	}

	excluded.clear();
	return placer.place(request);
}

async function runAttempt(options: AttemptOptions, request: PlacementRequest, placement: Placement): Promise<LayerError | undefined> {
	const report: AttemptReport = {cachedTokens: 0, promptTokens: request.promptTokens, outputTokens: 0};
	const finish = (result: Outcome['result']) => {
		options.placer.finished(request, placement, {endpoint: placement.endpoint, result, ...report});
	};

	options.placer.started(request, placement);
	try {
		await options.attempt(placement, report);
	} catch (error) {
		const isEndpointError = isEndpointFailure(error);
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

function isEndpointFailure(error: unknown): error is LayerError {
	return endpointErrors.some(kind => error instanceof kind);
}

/**
 * An engine that has another weights version, or is loading one, refuses at
 * once. This is not a fault and costs the engine nothing, so it neither counts as
 * an endpoint failure nor consumes the retry budget. Otherwise a rollout would
 * exhaust the budget while healthy replicas are available.
 */
function isVersionRefusal(error: unknown): boolean {
	return error instanceof EndpointRefusedError && error.status === statusVersionRefused;
}

function provesNotRun(error: LayerError): boolean {
	return error instanceof EndpointUnreachableError
		|| (error instanceof EndpointRefusedError && statusesNotRun.has(error.status));
}

function createFinalError(mayHaveRun: boolean, cause: LayerError | undefined): GatewayError {
	const options = cause === undefined ? undefined : {cause};
	return mayHaveRun
		? new GatewayError('engine_failed', 'No endpoint gave a whole answer. Send the request again.', defaultRetryAfterMs, options)
		: new GatewayError('no_endpoint', 'No endpoint can take the request now. Nothing was run.', defaultRetryAfterMs, options);
}
