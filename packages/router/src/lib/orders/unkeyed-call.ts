/** Calls without a key: answered, reported as not run, or listed as unknown. */
import {type Endpoint, type PlainService} from '../configuration/document.js';
import {type ResponseSink} from './response-sink.js';
import {sendProblem} from './call-problems.js';
import {type OrderStore, type OrderOutcome} from './order-store.js';
import {maxPathCharacters, unkeyedOrderKey} from './order-rows.js';
import {type CallResult, type ReadyCall} from './run-call.js';
import {type IncomingCall, type ServiceEvent} from './service-options.js';
import {type KnownRun} from './status-look-up.js';

/** Options of {@link createUnkeyedCalls}. */
export type UnkeyedCallsOptions = {
	orderStore: OrderStore;
	run: (call: ReadyCall, sink: ResponseSink) => Promise<CallResult>;
	lookUp: (service: PlainService, endpoint: Endpoint, requestId: string) => Promise<KnownRun | undefined>;
	newToken: () => string;
	/** Called when an outcome could not be recorded. */
	onUnrecorded: (service: string) => void;
};

/** Creates the handler of calls without a key. */
export function createUnkeyedCalls(options: UnkeyedCallsOptions) {
	const record = async ({context, call}: IncomingCall, end: OrderOutcome) => {
		const now = Date.now();
		const isRecorded = await options.orderStore.record(unkeyedOrderKey(context.workspace, call.service, call.requestId), {
			state: 'pending',
			token: options.newToken(),
			digest: '',
			requestId: call.requestId,
			workspace: context.workspace,
			service: call.service,
			method: call.method,
			path: call.path.slice(0, maxPathCharacters),
			createdMs: now,
			giveUpMs: now,
		}, end);
		if (!isRecorded) {
			options.onUnrecorded(call.service);
		}
	};

	const endOrder = async (incoming: IncomingCall, result: CallResult & {kind: 'unknown'}): Promise<ServiceEvent> => {
		const {context, call, sink} = incoming;
		const known = await options.lookUp(context.service, result.endpoint, call.requestId);
		if (known === undefined) {
			void record(incoming, {state: 'unknown', endpoint: result.endpoint.name, reason: result.failure});
		} else if (result.begun) {
			// The caller's connection broke within the response, so it does not know that the order ran.
			void record(incoming, {
				state: 'answered', status: known.status, headers: [], body: null, trailers: [], by: 'status look-up',
			});
		}

		if (!result.begun) {
			sendProblem(sink, known === undefined ? 'outcome_unknown' : 'answer_not_kept', {
				requestId: call.requestId,
				...(known === undefined ? {} : {endpointStatus: known.status}),
			});
		}

		return 'unknown';
	};

	return {
		/** Runs one call and answers it. */
		async handle(incoming: IncomingCall): Promise<ServiceEvent> {
			const {call, sink} = incoming;
			const result = await options.run(call, sink);
			if (result.kind === 'answered') {
				return 'answered';
			}

			if (result.kind === 'not_run') {
				sendProblem(sink, 'not_run', {requestId: call.requestId});
				return 'not_run';
			}

			if (call.kind === 'once') {
				return endOrder(incoming, result);
			}

			if (!result.begun) {
				sendProblem(sink, 'no_answer', {requestId: call.requestId});
			}

			return 'no_answer';
		},
	};
}
