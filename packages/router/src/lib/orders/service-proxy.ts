/** Calls to plain services over Node's HTTP server. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {createHttpSink} from './http-sink.js';
import {createServiceCalls} from './service-calls.js';
import {type ServiceContext, type ServiceEvent, type ServiceProxyOptions} from './service-options.js';
import {type UnknownOrders} from './unknown-orders.js';

/** Handles calls to plain services over HTTP. */
export type ServiceProxy = UnknownOrders & {
	/**
	 * Answers one call. The request body must not have been read, and nothing may
	 * have been written to the response; headers may be set on it.
	 */
	handle: (req: IncomingMessage, res: ServerResponse, context: ServiceContext) => Promise<ServiceEvent>;
	/** Refuses new calls, and resolves once all calls have ended and their outcomes are recorded. */
	drain: () => Promise<void>;
};

/**
 * Creates the proxy of one process.
 *
 * @example
 * const proxy = createServiceProxy({table: platform.table, retryBudget, directory});
 * reply.hijack();
 * await proxy.handle(request.raw, reply.raw, context);
 */
export function createServiceProxy(options: ServiceProxyOptions): ServiceProxy {
	const calls = createServiceCalls(options);
	return {
		listUnknownOrders: calls.listUnknownOrders,
		settleUnknownOrder: calls.settleUnknownOrder,
		sweepExpiredOrders: calls.sweepExpiredOrders,
		drain: calls.drain,
		async handle(req, res, context) {
			const sink = createHttpSink(res);
			const incoming = {
				method: req.method ?? '',
				httpVersion: req.httpVersion,
				rawHeaders: req.rawHeaders,
				chunks: () => req.iterator({destroyOnReturn: false}),
			};
			try {
				return await calls.handle(incoming, sink, context);
			} catch (error) {
				// Reading the caller's request body failed, or there is a bug here. What was
				// written so far must not pass as a complete response.
				const isCallersFault = sink.isDisconnected() || req.destroyed;
				sink.abort();
				if (isCallersFault) {
					return 'refused';
				}

				throw error;
			}
		},
	};
}
