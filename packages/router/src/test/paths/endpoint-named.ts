import {type LiveEndpoint} from '../../fleet.js';

let count = 0;

/** Creates an endpoint with an address of its own. */
export function endpointNamed(id: string): LiveEndpoint {
	count++;
	return {
		id, service: 'desk', address: `10.0.0.${count}:80`, dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map(),
	};
}
