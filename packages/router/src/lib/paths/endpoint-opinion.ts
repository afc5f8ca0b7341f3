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

/** Other endpoints that are tried at most, since some may have ended as well. */
const maxControls = 8;

/** Creates the check. */
export function createOpinionOn({checkConnection, endpointsOf, random}: OpinionOptions): OpinionOn {
	/** Other endpoints of the same service, drawn at random. */
	const controlsFor = ({id, service}: LiveEndpoint): LiveEndpoint[] => {
		const others = endpointsOf(service).filter(other => other.id !== id && !other.isLeaving);
		const first = Math.floor(random() * others.length);
		return [...others.slice(first), ...others.slice(0, first)].slice(0, maxControls);
	};

	/** Whether enough of these accept connections; tries as many at a time as are still needed. */
	const areReached = async (controls: readonly LiveEndpoint[]): Promise<boolean> => {
		const left = [...controls];
		let needed = Math.min(controlCount, left.length);
		while (needed > 0 && left.length >= needed) {
			const states = await Promise.all(left.splice(0, needed).map(async ({address}) => checkConnection(address)));
			needed -= states.filter(state => state === 'accepted').length;
		}

		return needed === 0;
	};

	return async endpoint => {
		const state = await checkConnection(endpoint.address);
		if (state !== 'refused') {
			return state === 'accepted' ? 'reached' : 'unknown';
		}

		return await areReached(controlsFor(endpoint)) ? 'refused' : 'unknown';
	};
}

/** Whether the endpoint has ended: somebody can tell that it refuses connections, and nobody reaches it. */
export const provesEnd = (opinions: readonly EndpointOpinion[]): boolean => opinions.includes('refused') && !opinions.includes('reached');
