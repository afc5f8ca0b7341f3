/** Wires the paths to endpoints, and the way through peers where a path is lost. */
import {randomBytes} from 'node:crypto';
import {createCallHeaders} from '@hickorywalk/platform';
import {createNoticeRecorder} from 'hickorywalk/forwarding.js';
import {
	checkConnection, type ConnectionState, createEndpointPaths, createOpinionOn, createRelay, createRelayPeers, createRelayServer, type EndpointPaths, type OpinionOn, type Relay, type RelayServer,
} from 'hickorywalk/paths.js';
import {createFleetKey, type FleetKey} from 'hickorywalk/peers.js';
import {type EntryParts} from './parts.js';

/** Timeout in milliseconds of connections that only show whether an endpoint can be reached. */
const connectionCheckTimeoutMs = 150;

const fleetKeyBytes = 24;

/** Creates the check whether an endpoint accepts connections. */
export const wireConnectionCheck = () => async (address: string): Promise<ConnectionState> => checkConnection(address, connectionCheckTimeoutMs);

/** Creates the check whether an endpoint has ended or only can't be reached. */
export const wireOpinionOn = ({checkConnection: check, view}: EntryParts): OpinionOn => createOpinionOn({
	checkConnection: check, endpointsOf: view.endpointsOf, random: Math.random,
});

/** Creates the record of this daemon's paths. */
export const wirePaths = ({checkConnection: check, transport, log}: EntryParts): EndpointPaths => createEndpointPaths({
	checkConnection: check,
	onLost({id, address}) {
		transport.forgetConnections({name: id, address: `http://${address}`});
	},
	random: Math.random,
	log,
});

/** Creates the secret by which daemons know each other. */
export const wireFleetKey = ({ownTable, log}: EntryParts): FleetKey => createFleetKey({
	table: ownTable, generate: () => randomBytes(fleetKeyBytes).toString('base64url'), log,
});

/** Creates the way through peers. */
export const wireRelay = ({transport, peers, settings, fleetKey}: EntryParts): Relay => createRelay({
	transport,
	peers: createRelayPeers({
		name: settings.name,
		dataCentre: settings.dataCentre,
		peers: () => peers.live().map(({report: {daemon, address, dataCentre}}) => ({name: daemon, address, dataCentre})),
	}),
	fleetKey: fleetKey.current,
	onKeyRefused: fleetKey.refresh,
});

/** Creates the server for requests that peers can't send themselves. */
export const wireRelayServer = ({
	view, presence, paths, transport, eventLoopLag, weightsDeadlines, limits, backoff, brittle, bufferAccount, opinionOn, originFinder, fleetKey, state, metrics, serverLimiters, log,
}: EntryParts): RelayServer => createRelayServer({
	view,
	paths,
	transport,
	headers: createCallHeaders(),
	eventLoopLag,
	weightsDeadlines,
	brittle,
	bufferAccount,
	mayGetRequests: endpoint => !endpoint.isLeaving && !presence.hasEnded(endpoint) && backoff.roomOf(endpoint) > 0,
	onNotices: createNoticeRecorder({
		view, limits, backoff, brittle,
	}),
	opinionOn,
	originOf: originFinder.answer,
	fleetKey: fleetKey.current,
	isStopping: () => state.isStopping,
	onDeclined: metrics.relayDeclined,
	limitConnections: serverLimiters.relay,
	log,
});
