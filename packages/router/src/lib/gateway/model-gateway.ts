/** Serves model requests: admission, placement, and a streamed or complete response. */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders, type ServerResponse} from 'node:http';
import {createByteCollector} from '../buffers/byte-collector.js';
import {type ModelService} from '../configuration/document.js';
import {type EngineResponse} from '../endpoints/engine-client.js';
import {EndpointBrokenError} from '../endpoints/endpoint-errors.js';
import {chooseVersion} from '../endpoints/version-choice.js';
import {type Caller} from '../configuration/key-ring.js';
import {type Placement} from '../serving/ports.js';
import {
	type Admission, admit, authenticate, findModelService, requireConfiguration,
} from './admission.js';
import {type AttemptReport, runAttempts} from './attempts.js';
import {type CallerConnection, CallerGoneError, watchCaller} from './caller-connection.js';
import {
	errorBody, errorHeaders, GatewayError, refusals,
} from './gateway-errors.js';
import {type ModelGatewayParts, type RequestRecord} from './model-gateway-parts.js';
import {
	modelForms, type ModelForm, type ModelRequest, parseModelRequest,
} from './model-request.js';
import {createStreamRelay, type StreamRelay} from './stream-relay.js';
import {readUsage, type TokenUsage} from './usage.js';

/** One request from the HTTP server, with the response to write to. */
export type ModelExchange = {
	requestId: string;
	form: ModelForm;
	headers: IncomingHttpHeaders;
	body: unknown;
	raw: ServerResponse;
};

/** Serves model requests. */
export type ModelGateway = {
	handle: (exchange: ModelExchange) => Promise<void>;
	/** Number of requests in progress. */
	readonly running: number;
};

const statusOk = 200;
const bytesOf = (text: string) => Buffer.byteLength(text);

/** Creates the gateway. */
export function createModelGateway(parts: ModelGatewayParts): ModelGateway {
	let running = 0;

	async function handle(exchange: ModelExchange): Promise<void> {
		running++;
		const run = createRun(parts, exchange);
		try {
			await run.serve();
		} finally {
			running--;
		}
	}

	return {
		handle,
		get running() {
			return running;
		},
	};
}

/** Creates the state of one request. */
function createRun(parts: ModelGatewayParts, exchange: ModelExchange) {
	const {raw, requestId} = exchange;
	const startedAt = performance.now();
	const record: RequestRecord = {
		requestId,
		workspace: '',
		service: '',
		result: 'answered',
		firstTokenMs: undefined,
		durationMs: 0,
		usage: undefined,
		attempts: 0,
	};
	let relay: StreamRelay | undefined;

	async function serve(): Promise<void> {
		let caller: CallerConnection | undefined;
		try {
			const plan = prepare();
			caller = watchCaller(raw, {deadlineMs: plan.deadlineMs, stallMs: parts.bounds.callerStallMs});
			await runAdmitted(plan, caller);
		} catch (error) {
			answerError(error);
		} finally {
			caller?.done();
			record.durationMs = performance.now() - startedAt;
			parts.onRecord(record);
		}
	}

	function prepare(): Plan {
		const index = requireConfiguration(parts.configuration());
		const owner = authenticate(parts.keyRing, exchange.headers);
		record.workspace = owner.workspace.name;
		const request = parseModelRequest(exchange.form, exchange.body, parts.bounds);
		const service = findModelService(index, owner, request);
		record.service = service.name;
		return {
			owner,
			request,
			service,
			version: chooseVersion(service, owner.workspace.name, parts.versionsOf(service.name)),
			promptTokens: Math.ceil(bytesOf(request.prompt) / service.bytesPerToken),
			deadlineMs: deadlineOf(exchange.headers, parts.bounds.deadlineMs),
		};
	}

	async function runAdmitted(plan: Plan, caller: CallerConnection): Promise<void> {
		const admission = await admit({
			limiter: parts.limiter,
			queue: parts.queueOf(plan.service.name),
			caller: plan.owner,
			promptTokens: plan.promptTokens,
			maxOutputTokens: plan.request.maxOutputTokens,
			longestTokenWaitMs: Math.min(parts.bounds.longestTokenWaitMs, plan.deadlineMs),
			longestTurnWaitMs: Math.min(parts.bounds.longestTurnWaitMs, plan.deadlineMs),
			signal: caller.signal,
		});
		try {
			await runWithVersionFallback(plan, caller, admission);
		} finally {
			admission.release(usedTokens(plan));
		}
	}

	/**
	 * Tokens that the workspace is charged. A stream that broke off has no usage
	 * report, so it is charged for its prompt and for each relayed event.
	 */
	function usedTokens(plan: Plan): number {
		if (record.usage !== undefined) {
			return record.usage.promptTokens + record.usage.outputTokens;
		}

		return record.attempts === 0 ? 0 : plan.promptTokens + (relay?.position ?? 0);
	}

	/**
	 * Falls back to other weights versions. Known endpoint versions lag behind:
	 * during a rollout the last replica of the chosen version may just have
	 * switched, so that every attempt is refused. As long as nothing was sent to
	 * the caller, another version may answer.
	 */
	async function runWithVersionFallback(plan: Plan, caller: CallerConnection, admission: Admission): Promise<void> {
		const others = [plan.service.version, ...parts.versionsOf(plan.service.name).keys()];
		const versions = new Set([plan.version, ...others]);
		for (const version of versions) {
			versions.delete(version);
			try {
				await runVersion({...plan, version}, caller, admission);
				return;
			} catch (error) {
				if (versions.size === 0 || relay?.started === true || !isUnanswered(error)) {
					throw error;
				}
			}
		}
	}

	async function runVersion(plan: Plan, caller: CallerConnection, admission: Admission): Promise<void> {
		const {request, service} = plan;
		const identity = {
			workspace: plan.owner.workspace.name, model: service.model, version: plan.version, adapter: request.adapter,
		};
		const pieces = parts.hashPrompt(identity, request.prompt, service.pieceTokens * service.bytesPerToken);
		await runAttempts({
			placer: parts.placer,
			budget: parts.budget,
			request: {
				service: service.name,
				workspace: identity.workspace,
				version: plan.version,
				adapter: request.adapter,
				pieces,
				promptTokens: plan.promptTokens,
				maxOutputTokens: request.maxOutputTokens,
			},
			mostAttempts: parts.bounds.mostAttempts,
			signal: caller.signal,
			async attempt(placement, report) {
				record.attempts++;
				await runOnEndpoint({
					plan, caller, admission, placement, report,
					identity: Object.values(identity).join('/'),
				});
			},
			onFailure(endpoint, error) {
				parts.onEndpointFailure(requestId, endpoint, error);
			},
		});
	}

	async function runOnEndpoint(step: AttemptContext): Promise<void> {
		const {plan, caller, report} = step;
		const sentAt = performance.now();
		const answer = await parts.engines.call({
			address: addressOf(step.placement.endpoint),
			path: modelForms[exchange.form],
			requestId,
			cacheIdentity: step.identity,
			version: plan.version,
			incarnation: step.placement.incarnation,
			priority: step.admission.priority,
			deadlineMs: caller.remainingMs(),
			resumeFrom: relay?.position ?? 0,
			body: plan.request.engineBody,
			signal: caller.signal,
		});
		if (answer.load !== undefined) {
			report.load = answer.load;
		}

		await (plan.request.stream && answer.status === statusOk ? passStream(step, answer, sentAt) : passWhole(step, answer, sentAt));
	}

	async function passStream(step: AttemptContext, answer: EngineResponse, sentAt: number): Promise<void> {
		relay ??= createStreamRelay({
			raw,
			caller: step.caller,
			headers: {'x-request-id': requestId},
			wantsUsage: step.plan.request.wantsUsage,
			onFirstEvent() {
				record.firstTokenMs = performance.now() - startedAt;
				step.report.firstTokenMs = performance.now() - sentAt;
			},
		});
		try {
			await relay.pass(answer.chunks);
		} finally {
			recordUsage(step.report, relay.usage, relay.position);
		}
	}

	async function passWhole(step: AttemptContext, answer: EngineResponse, sentAt: number): Promise<void> {
		const collected = createByteCollector();
		for await (const chunk of answer.chunks) {
			collected.add(chunk);
		}

		const body = collected.whole();
		const text = body.toString('utf8');
		checkJson(text);
		recordUsage(step.report, readUsage(text), 0);
		if (relay?.started) {
			// The engine rejected the resume; its error response can't be sent inside a stream.
			throw new EndpointBrokenError(`The engine answered ${answer.status} to a resume.`);
		}

		if (answer.status === statusOk) {
			step.report.firstTokenMs = performance.now() - sentAt;
		} else {
			record.result = `engine_${answer.status}`;
		}

		raw.writeHead(answer.status, {
			'content-type': answer.contentType, 'content-length': body.length, 'x-request-id': requestId,
		});
		raw.end(body);
	}

	function recordUsage(report: AttemptReport, usage: TokenUsage | undefined, events: number): void {
		if (usage === undefined) {
			report.outputTokens = events;
			return;
		}

		record.usage = usage;
		report.promptTokens = usage.promptTokens;
		report.cachedTokens = usage.cachedTokens;
		report.outputTokens = usage.outputTokens;
	}

	function addressOf(endpoint: string): string {
		const found = parts.configuration()?.endpoint(endpoint);
		if (found === undefined) {
			throw new EndpointBrokenError(`Endpoint ${endpoint} is no longer in the configuration.`);
		}

		return found.address;
	}

	function answerError(error: unknown): void {
		if (error instanceof CallerGoneError) {
			record.result = 'gone';
			raw.destroy();
			return;
		}

		const gatewayError = error instanceof GatewayError
			? error
			: new GatewayError('internal_error', 'The router failed on this request. Its log has the request id.', undefined, {cause: error});
		record.result = gatewayError.code;
		if (relay?.started) {
			relay.fail(errorBody(gatewayError));
			return;
		}

		raw.writeHead(refusals[gatewayError.code].status, {
			...errorHeaders(gatewayError), 'content-type': 'application/json', 'x-request-id': requestId,
		});
		raw.end(JSON.stringify(errorBody(gatewayError)));
		if (gatewayError.code === 'internal_error') {
			throw error;
		}
	}

	return {serve};
}

/** A checked request, ready to be admitted and run. */
type Plan = {
	/** The authenticated caller. */
	owner: Caller;
	request: ModelRequest;
	service: ModelService;
	/** Weights version that every attempt requests, since a stream can only resume on the same version. */
	version: string;
	promptTokens: number;
	deadlineMs: number;
};

type AttemptContext = {
	plan: Plan;
	caller: CallerConnection;
	admission: Admission;
	placement: Placement;
	report: AttemptReport;
	identity: string;
};

/** Whether no endpoint of the requested version answered. */
function isUnanswered(error: unknown): boolean {
	return error instanceof GatewayError && (error.code === 'no_endpoint' || error.code === 'engine_failed');
}

/** Callers may shorten the deadline but not lengthen it. */
function deadlineOf(headers: IncomingHttpHeaders, longestMs: number): number {
	const asked = Number(headers['x-deadline-ms']);
	return Number.isFinite(asked) && asked > 0 ? Math.min(asked, longestMs) : longestMs;
}

/** A body that isn't valid JSON is truncated or not from the engine, and must not be passed on as complete. */
function checkJson(text: string): void {
	try {
		JSON.parse(text);
	} catch (error) {
		throw new EndpointBrokenError('The engine\'s response is not a complete JSON document.', {cause: error});
	}
}
