import {assert} from 'chai';
import {createEndpointPresence, type EndpointPresence} from '../../fleet.js';
import {createAttemptPaths, type AttemptPaths, type PathState} from '../../lib/forwarding/attempt-path.js';
import {createSilentLog} from '../../observability.js';
import {createEndpointPaths, type EndpointPaths} from '../../paths.js';
import {createBrittleEndpoints, type BrittleEndpoints} from '../../placing.js';
import {endpointNamed} from '../paths/endpoint-named.js';

const log = createSilentLog();
const failed = {kind: 'failed', failure: 'connect_failed'} as const;

describe('createAttemptPaths', () => {
	const endpoint = endpointNamed('e1');
	let paths: EndpointPaths;
	let brittle: BrittleEndpoints;
	let presence: EndpointPresence;
	let attemptPaths: AttemptPaths;
	let hasPeers: boolean;

	beforeEach(() => {
		paths = createEndpointPaths({
			checkConnection: async () => 'refused', onLost: () => undefined, random: () => 0.5, log,
		});
		brittle = createBrittleEndpoints({onUpdate: () => undefined, log});
		presence = createEndpointPresence(log);
		hasPeers = true;
		attemptPaths = createAttemptPaths({
			paths, brittle, presence, relay: {isAvailable: () => hasPeers, hasGatekeeper: () => hasPeers},
		});
	});

	const newCall = (): PathState => ({
		pathKind: 'own', ownConnectFailures: 0, excluded: new Set([endpoint.id]), progress: {firstAt: undefined, lastEventId: undefined, facts: undefined},
	});

	it('goes to the same endpoint through a peer after its connection has failed', () => {
		// Guards against refusing requests for the only endpoint of a service because of a network fault.
		const call = newCall();
		assert.equal(attemptPaths.choose(call, endpoint), 'own');
		attemptPaths.recordEnd(call, endpoint, failed);
		assert.isFalse(call.excluded.has(endpoint.id));
		assert.isFalse(presence.isDoubtful(endpoint));
		assert.equal(attemptPaths.choose(call, endpoint), 'peer');
	});

	it('goes through a peer to further endpoints once two connections of a request have failed', () => {
		// Guards against a request that is refused after it has tried one hanging connection after the other.
		const call = newCall();
		attemptPaths.recordEnd(call, endpoint, failed);
		assert.equal(attemptPaths.choose(call, endpointNamed('e2')), 'own');
		attemptPaths.recordEnd(call, endpointNamed('e2'), failed);
		assert.equal(attemptPaths.choose(call, endpointNamed('e3')), 'peer');
		assert.equal(attemptPaths.choose(newCall(), endpointNamed('e3')), 'own');
	});

	it('counts an endpoint as unreachable only if no peer could connect to it either', () => {
		const call = {...newCall(), pathKind: 'peer' as const};
		paths.connectFailed(endpoint);
		attemptPaths.recordEnd(call, endpoint, failed);
		assert.isTrue(presence.isDoubtful(endpoint));
		assert.isTrue(paths.isUnreachable(endpoint));
		assert.isTrue(call.excluded.has(endpoint.id));
	});

	it('keeps to its own path without peers, and tries a failed endpoint last', () => {
		// Guards against a lone daemon that finds no path at all.
		hasPeers = false;
		const call = newCall();
		attemptPaths.recordEnd(call, endpoint, failed);
		assert.equal(attemptPaths.choose(call, endpoint), 'own');
		assert.isTrue(presence.isDoubtful(endpoint));
	});

	it('goes through the gatekeeper while the service is brittle, and leaves an endpoint without room alone for a moment', () => {
		brittle.recordStatement(endpoint, 3);
		const call = newCall();
		assert.equal(attemptPaths.choose(call, endpoint), 'gatekeeper');
		attemptPaths.recordEnd({...call, pathKind: 'gatekeeper'}, endpoint, {kind: 'failed', failure: 'no_room'});
		assert.isFalse(brittle.hasRoom(endpoint));
		assert.isFalse(presence.isDoubtful(endpoint));
		brittle.recordStatement(endpoint, undefined);
		assert.equal(attemptPaths.choose(call, endpoint), 'own');
	});
});
