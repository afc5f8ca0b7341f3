/**
 * Calls to plain services. A call is sent at most once unless it is idempotent,
 * a caller gets only the response to its own call and can tell when it is
 * incomplete, and "not run" is reported only if the call did not run.
 */
import {randomUUID} from 'node:crypto';
import {headerValue, requestIdHeader} from './response-checks.js';
import {type ResponseSink} from './response-sink.js';
import {createByteBudget} from './byte-budget.js';
import {type ProblemCode, sendProblem} from './call-problems.js';
import {forwardableHeaders, headerPairs, stripKeyFromUrl} from './credential-headers.js';
import {createGroupCommit} from './group-commit.js';
import {createEndpointSink, createIdentifiedSink} from './http-sink.js';
import {createKeyedCalls} from './keyed-call.js';
import {createOrderStore} from './order-store.js';
import {createRequestBody, type RequestBody} from './request-body.js';
import {findRequestFault} from './request-checks.js';
import {classifyRoute} from './route-idempotency.js';
import {type CallResult, type ReadyCall, runCall} from './run-call.js';
import {
	defaultServiceLimits, type IncomingCall, type ServiceContext, type ServiceEvent, type ServiceLimits, type ServiceProxyOptions,
} from './service-options.js';
import {createStatusLookUp} from './status-look-up.js';
import {createUndiciTransport} from './undici-transport.js';
import {createUnkeyedCalls} from './unkeyed-call.js';
import {createUnknownOrders, type UnknownOrders} from './unknown-orders.js';

/** A caller's request, as received. */
export type IncomingRequest = {
	method: string;
	httpVersion: string;
	rawHeaders: readonly string[];
	/** The body's chunks; read only as an attempt consumes them. */
	chunks: () => AsyncIterator<Uint8Array>;
};

/** Handles calls to plain services, independent of the HTTP server. */
export type ServiceCalls = UnknownOrders & {
	/** Answers one call. Rejects if reading the caller's request body fails. */
	handle: (req: IncomingRequest, sink: ResponseSink, context: ServiceContext) => Promise<ServiceEvent>;
	/** Refuses new calls, and resolves once all calls have ended and their outcomes are recorded. */
	drain: () => Promise<void>;
};

const replacedHeaders: ReadonlySet<string> = new Set([requestIdHeader, 'idempotency-key']);

function endpointHeaders(req: IncomingRequest, context: ServiceContext): string[] {
	const headers: string[] = [];
	for (const {name, sentName, value} of headerPairs(forwardableHeaders(req.rawHeaders, context.presentedKey))) {
		if (!replacedHeaders.has(name)) {
			headers.push(sentName, value);
		}
	}

	headers.push(requestIdHeader, context.requestId);
	return headers;
}

function bodyOf(req: IncomingRequest, replayBytes: number): RequestBody | undefined {
	const length = headerValue(req.rawHeaders, 'content-length');
	if (headerValue(req.rawHeaders, 'transfer-encoding') === undefined && (length === undefined || Number(length) === 0)) {
		return undefined;
	}

	return createRequestBody({
		source: req.chunks(),
		...(length === undefined ? {} : {length: Number(length)}),
		replayBytes,
	});
}

function bodyOpener(body: RequestBody | undefined): ReadyCall['openBody'] {
	return () => {
		if (body === undefined) {
			return {};
		}

		return body.canOpen() ? {body: {kind: 'stream', length: body.length, open: body.open}} : undefined;
	};
}

/** Returns the idempotency key of a call, or `null` if it is malformed. */
function idempotencyKeyOf(req: IncomingRequest): string | undefined | null {
	let found: string | undefined;
	for (const {name, value} of headerPairs(req.rawHeaders)) {
		if (name !== 'idempotency-key') {
			continue;
		}

		if (found !== undefined || !/^[!-~]{1,255}$/v.test(value)) {
			return null;
		}

		found = value;
	}

	return found;
}

/** Creates the handler of service calls of one process. */
export function createServiceCalls(options: ServiceProxyOptions): ServiceCalls {
	const limits: ServiceLimits = {...defaultServiceLimits, ...options.limits};
	const newToken = options.newToken ?? randomUUID;
	const transport = options.transport ?? createUndiciTransport({connectMs: limits.connectMs});
	const groupCommit = createGroupCommit({
		table: options.table,
		...(options.onTransaction === undefined ? {} : {onTransaction: options.onTransaction}),
	});
	const orderStore = createOrderStore({
		table: options.table, groupCommit, keepMs: limits.keepMs, persistMs: limits.persistMs,
	});
	const lookUp = createStatusLookUp(transport, limits.lookUpMs);
	const keyedBodyBudget = createByteBudget(limits.mostHeldBytes);
	const active = new Set<Promise<unknown>>();
	let stopping = false;

	const run = async (call: ReadyCall, sink: ResponseSink): Promise<CallResult> => runCall(call, createEndpointSink(sink), {
		transport,
		retryBudget: options.retryBudget,
		limits,
		mostAttempts: limits.mostAttempts,
		onDropped: why => options.onEvent?.(why, call.service),
		onRetry: () => options.onEvent?.('retried', call.service),
		...(options.onEndpointFailure === undefined ? {} : {onEndpointFailure: options.onEndpointFailure}),
	});
	const onUnrecorded = (service: string) => options.onEvent?.('unrecorded', service);
	const keyed = createKeyedCalls({
		orderStore, run, lookUp, limits, newToken, onUnrecorded, isStopping: () => stopping,
	});
	const unkeyed = createUnkeyedCalls({
		orderStore, run, lookUp, newToken, onUnrecorded,
	});

	const refuse = (sink: ResponseSink, code: ProblemCode, context: ServiceContext): ServiceEvent => {
		sendProblem(sink, code, {requestId: context.requestId});
		return 'refused';
	};

	const answerKeyed = async (incoming: IncomingCall, idempotencyKey: string): Promise<ServiceEvent> => {
		const {context, sink} = incoming;
		const content = incoming.body === undefined ? new Uint8Array() : await incoming.body.readAll(limits.mostKeyedBytes);
		if (content === undefined) {
			return refuse(sink, 'keyed_body_too_large', context);
		}

		return keyed.handle({
			idempotencyKey,
			workspace: context.workspace,
			service: context.service,
			contentType: incoming.contentType,
			content,
			call: {...incoming.call, openBody: () => ({body: {kind: 'whole', content}})},
		}, sink);
	};

	/** Reserves memory for the body; a body of unknown length counts as large as the limit. */
	const handleKeyed = async (incoming: IncomingCall, idempotencyKey: string): Promise<ServiceEvent> => {
		const {body} = incoming;
		const bytes = body === undefined ? 0 : Math.min(body.length ?? limits.mostKeyedBytes, limits.mostKeyedBytes);
		const release = keyedBodyBudget.take(bytes);
		if (release === undefined) {
			return refuse(incoming.sink, 'busy', incoming.context);
		}

		try {
			return await answerKeyed(incoming, idempotencyKey);
		} finally {
			release();
		}
	};

	const handleCall = async (req: IncomingRequest, sink: ResponseSink, context: ServiceContext): Promise<ServiceEvent> => {
		const {method} = req;
		const path = stripKeyFromUrl(context.path, context.presentedKey);
		const fault = findRequestFault({
			method, path, httpVersion: req.httpVersion, rawHeaders: req.rawHeaders,
		});
		const idempotencyKey = idempotencyKeyOf(req);
		if (fault !== undefined || idempotencyKey === null) {
			return refuse(sink, fault ?? 'malformed_key', context);
		}

		const body = bodyOf(req, limits.replayBytes);
		const kind = classifyRoute(context.service, method, path);
		const incoming: IncomingCall = {
			context,
			body,
			sink,
			contentType: headerValue(req.rawHeaders, 'content-type') ?? '',
			call: {
				service: context.service.name,
				requestId: context.requestId,
				kind,
				method,
				path,
				headers: endpointHeaders(req, context),
				openBody: bodyOpener(body),
				pick: context.pick,
				deadline: context.deadline,
				maySend: () => !sink.isDisconnected() && performance.now() < context.deadline,
			},
		};
		try {
			return await (kind === 'once' && idempotencyKey !== undefined
				? handleKeyed(incoming, idempotencyKey)
				: unkeyed.handle(incoming));
		} finally {
			void body?.discard();
		}
	};

	const track = async (work: Promise<ServiceEvent>, service: string): Promise<ServiceEvent> => {
		active.add(work);
		try {
			const event = await work;
			options.onEvent?.(event, service);
			return event;
		} finally {
			active.delete(work);
		}
	};

	return {
		async handle(req, callerSink, context) {
			const sink = createIdentifiedSink(callerSink, context.requestId);
			return stopping
				? refuse(sink, 'stopping', context)
				: track(handleCall(req, sink, context), context.service.name);
		},
		...createUnknownOrders({
			table: options.table, groupCommit, directory: options.directory, lookUp, limits,
		}),
		async drain() {
			stopping = true;
			while (active.size > 0) {
				await Promise.allSettled(active);
			}

			await orderStore.settled();
			await transport.close();
		},
	};
}
