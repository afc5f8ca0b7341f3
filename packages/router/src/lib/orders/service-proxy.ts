/** Calls to plain services over Node's HTTP server. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {createHttpSink} from './http-sink.js';
import {createServiceCalls} from './service-calls.js';
import {type ServiceContext, type ServiceEvent, type ServiceProxyOptions} from './service-options.js';
import {type UnknownOrders} from './unknown-orders.js';

/** Takes calls to plain services. */
export type ServiceProxy = UnknownOrders & {
	/**
	 * Answers one call to its end. The body of the request must not have been
	 * read, and nothing written to the response but headers set on it.
	 */
	handle: (req: IncomingMessage, res: ServerResponse, context: ServiceContext) => Promise<ServiceEvent>;
	/** Refuses new calls, and resolves once every call and every record of it is done. */
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
				// The caller's own body broke off, or this program is at fault: nobody may
				// take what was written so far for a whole answer.
				const isCallersFault = sink.isGone() || req.destroyed;
				sink.cut();
				if (isCallersFault) {
					return 'refused';
				}

				throw error;
			}
		},
	};
}
