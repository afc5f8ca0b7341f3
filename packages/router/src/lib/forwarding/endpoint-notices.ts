/** Records what endpoints say of themselves in their responses. */
import {type NamedLimit, type ResponseFacts} from '../fleet/call-headers.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type BrittleEndpoints} from '../placing/brittle-endpoints.js';
import {type EndpointBackoff} from '../placing/endpoint-backoff.js';
import {type EndpointLimits} from '../placing/endpoint-limits.js';

/** Options of {@link createNoticeRecorder}. */
export type NoticeRecorderOptions = {
	view: FleetView;
	limits: EndpointLimits;
	backoff: EndpointBackoff;
	brittle: BrittleEndpoints;
};

/** Records the notices of one response. */
export type RecordNotices = (endpoint: LiveEndpoint, facts: ResponseFacts) => void;

/** Whether the response is the endpoint's own; another process may respond at its address. */
export const isOwnResponse = ({id}: LiveEndpoint, facts: ResponseFacts | undefined): boolean => (facts?.endpointId ?? id) === id;

/** Creates a recorder. */
export function createNoticeRecorder({
	view, limits, backoff, brittle,
}: NoticeRecorderOptions): RecordNotices {
	/** The absence of a limit counts only in a signed response. */
	const recordNamed = (named: NamedLimit, isSigned: boolean, record: (perSecond: number | undefined) => void): void => {
		if (named !== 'unreadable' && (named !== 'none' || isSigned)) {
			record(named === 'none' ? undefined : named);
		}
	};

	return (endpoint, facts) => {
		if (!isOwnResponse(endpoint, facts)) {
			return;
		}

		recordNamed(facts.limit, facts.isSigned, perSecond => {
			limits.recordLimit(endpoint, perSecond);
		});
		recordNamed(facts.bearableRejections, facts.isSigned, perSecond => {
			brittle.recordStatement(endpoint, perSecond);
		});
		if (facts.backoffMs > 0) {
			backoff.requested(endpoint, facts.backoffMs);
		}

		if (facts.isLeaving) {
			view.markLeaving(endpoint, 'answer');
		}
	};
}
