/** Decides over which path an attempt goes, and records what its end shows about the path. */
import {type EndpointPresence} from '../fleet/endpoint-presence.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type EndpointPaths} from '../paths/endpoint-paths.js';
import {type Relay} from '../paths/relay.js';
import {type BrittleEndpoints} from '../placing/brittle-endpoints.js';
import {type AttemptEnd} from './attempt.js';
import {type Call} from './call.js';

/** This daemon's own path, through a peer that has one, or through the gatekeeper of a brittle endpoint. */
export type PathKind = 'own' | 'peer' | 'gatekeeper';

/** Options of {@link createAttemptPaths}. */
export type AttemptPathsOptions = {
	paths: EndpointPaths;
	relay: Pick<Relay, 'isAvailable' | 'hasGatekeeper'>;
	brittle: BrittleEndpoints;
	presence: EndpointPresence;
};

/** State of a call that the decision depends on and updates. */
export type PathState = Pick<Call, 'pathKind' | 'ownConnectFailures' | 'excluded' | 'progress'>;

/** Paths of attempts. */
export type AttemptPaths = {
	choose: (call: PathState, endpoint: LiveEndpoint) => PathKind;
	recordEnd: (call: PathState, endpoint: LiveEndpoint, end: AttemptEnd) => void;
};

/** Failed connections of one request after which the cause is presumed to be this daemon's network. */
const ownConnectFailuresUntilRelay = 2;

/** Creates the decision. */
export function createAttemptPaths({paths, relay, brittle, presence}: AttemptPathsOptions): AttemptPaths {
	const recordUnconnected = (call: PathState, endpoint: LiveEndpoint): void => {
		if (call.pathKind !== 'own') {
			paths.passingOnFailed(endpoint);
			presence.unreached(endpoint);
			return;
		}

		call.ownConnectFailures++;
		paths.connectFailed(endpoint);
		if (relay.isAvailable(endpoint.id)) {
			// It may be chosen again, to be reached through a peer.
			call.excluded.delete(endpoint.id);
		} else {
			presence.unreached(endpoint);
		}
	};

	return {
		choose(call, endpoint) {
			if (brittle.isBrittle(endpoint.service) && relay.hasGatekeeper(endpoint.id)) {
				return 'gatekeeper';
			}

			const isOwnLost = paths.isLost(endpoint) || call.ownConnectFailures >= ownConnectFailuresUntilRelay;
			return isOwnLost && relay.isAvailable(endpoint.id) ? 'peer' : 'own';
		},
		recordEnd(call, endpoint, end) {
			const failure = end.kind === 'failed' ? end.failure : undefined;
			if (failure === 'no_room') {
				brittle.declined(endpoint);
			} else if (failure === 'connect_failed') {
				recordUnconnected(call, endpoint);
			} else if (call.pathKind !== 'own' && call.progress.facts !== undefined) {
				paths.passedOn(endpoint);
			}
		},
	};
}
