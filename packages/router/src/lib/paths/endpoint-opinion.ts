/** Tells an endpoint that has ended from one that this daemon can't reach. */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type ConnectionState} from './connection-check.js';

/** What a daemon can say of an endpoint; `unknown` if it can't tell the endpoint's state from its own path's. */
export type EndpointOpinion = 'reached' | 'refused' | 'unknown';

/** Options of {@link createOpinionOn}. */
export type OpinionOptions = {
	checkConnection: (address: string) => Promise<ConnectionState>;
	/** Endpoints of a service. */
	endpointsOf: (service: string) => readonly LiveEndpoint[];
	/** Returns a number in [0, 1). */
	random: () => number;
};

/** Connects to an endpoint and forms an opinion. */
export type OpinionOn = (endpoint: LiveEndpoint) => Promise<EndpointOpinion>;

/** Other endpoints of the service that must accept connections before a refused one counts as the endpoint's fault. */
const controlCount = 2;

/** Creates the check. */
export function createOpinionOn({checkConnection, endpointsOf, random}: OpinionOptions): OpinionOn {
	/** Other endpoints of the same service, drawn at random. */
	const controlsFor = ({id, service}: LiveEndpoint): LiveEndpoint[] => {
		const others = endpointsOf(service).filter(other => other.id !== id && !other.isLeaving);
		const first = Math.floor(random() * others.length);
		return [...others.slice(first), ...others.slice(0, first)].slice(0, controlCount);
	};

	return async endpoint => {
		const state = await checkConnection(endpoint.address);
		if (state !== 'refused') {
			return state === 'accepted' ? 'reached' : 'unknown';
		}

		const controls = await Promise.all(controlsFor(endpoint).map(async ({address}) => checkConnection(address)));
		return controls.every(control => control === 'accepted') ? 'refused' : 'unknown';
	};
}

/** Whether the endpoint has ended: somebody can tell that it refuses connections, and nobody reaches it. */
export const provesEnd = (opinions: readonly EndpointOpinion[]): boolean => opinions.includes('refused') && !opinions.includes('reached');
