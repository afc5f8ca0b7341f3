/** Decides on arrival, and before each further attempt, whether a request is sent to the endpoint chosen for it. */
import {type FleetView} from '../fleet/fleet-view.js';
import {type ChoiceRequest} from '../placing/choice-request.js';
import {type Choice} from '../placing/endpoint-choice.js';
import {type EndpointLoadTracker} from '../placing/endpoint-load-tracker.js';
import {decideAdmission, retryAfterMs, type RefusalReason} from './admission-decision.js';
import {createIdleEndpoints} from './idle-endpoints.js';

/** Options of {@link createAdmission}. */
export type AdmissionOptions = {
	view: Pick<FleetView, 'endpointsOf'>;
	loadTracker: Pick<EndpointLoadTracker, 'load'>;
	choose: (request: ChoiceRequest) => Choice | undefined;
	/** Returns a number in [0, 1). */
	random: () => number;
};

/** A request that asks for an endpoint. */
export type AdmissionRequest = ChoiceRequest & {
	/** `performance.now()` at which the caller gives up. */
	deadlineAt: number;
	/** Time in milliseconds in which the response is wanted. */
	targetMs: number;
};

/** What becomes of a request. */
export type Admitted
	= | {kind: 'send'; choice: Choice}
		| {kind: 'refuse'; reason: RefusalReason; expectedMs: number; retryAfterMs: number};

/** Admits requests. */
export type Admission = {
	/** Decides on a request now. The choice is to be sent at once, since the next decision rests on it. */
	decide: (request: AdmissionRequest) => Admitted;
};

/** Creates the admission of one daemon. */
export function createAdmission({view, loadTracker, choose, random}: AdmissionOptions): Admission {
	const idleEndpoints = createIdleEndpoints({view, loadTracker});

	/** The choice among the idle endpoints; the sampled ones may all be busy. */
	const chooseIdle = (request: AdmissionRequest): Choice | undefined => {
		const busy = idleEndpoints.busyUnlessAll(request.service);
		return busy && choose({...request, excluded: new Set([...request.excluded, ...busy])});
	};

	return {
		decide(request) {
			const remainingMs = request.deadlineAt - performance.now();
			const decideOn = (choice: Choice | undefined) => decideAdmission({
				remainingMs,
				expectedMs: choice?.expectedMs,
				isIdle: choice !== undefined && idleEndpoints.isIdle(choice.endpoint),
				capacityMs: undefined,
				serviceMs: 0,
				hasQueueRoom: false,
			});
			const choice = choose(request);
			const decision = decideOn(choice);
			if (choice !== undefined && decision.kind === 'send') {
				return {kind: 'send', choice};
			}

			const idle = chooseIdle(request);
			if (idle !== undefined) {
				return {kind: 'send', choice: idle};
			}

			const {reason, expectedMs} = decision.kind === 'refuse' ? decision : {reason: 'unavailable' as const, expectedMs: Number.POSITIVE_INFINITY};
			return {
				kind: 'refuse',
				reason,
				expectedMs,
				retryAfterMs: retryAfterMs({
					expectedMs, remainingMs, targetMs: request.targetMs, random,
				}),
			};
		},
	};
}
