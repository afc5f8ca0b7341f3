/** Passes requests on through peers that have a path to the endpoint. */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {
	type EndpointTransport, type Exchange, type ExchangeEvents, type OutgoingRequest, type ResponseHead,
} from '../orders/endpoint-transport.js';
import {failureClasses, type FailureClass} from '../orders/failure-classes.js';
import {EndpointExchangeError} from '../orders/orders-errors.js';
import {headerValue, isSelfDelimiting} from '../orders/response-checks.js';
import {type OriginQuestion} from '../streams/origin-finder.js';
import {type OriginAnswer} from '../streams/stream-origin.js';
import {type EndpointOpinion} from './endpoint-opinion.js';
import {type RelayPeer, type RelayPeers} from './relay-peers.js';
import {
	endpointHeader, keyHeader, noPathReason, noRoomReason, outcomeHeader, purposeHeader, reasonHeader, type RelayOutcome, type RelayPurpose,
	serviceHeader, softwareHeader, startedAtHeader, streamHeader, unframedHeader, weightsHeader, wrongKeyReason,
} from './relay-protocol.js';

/** Options of {@link createRelay}. */
export type RelayOptions = {
	transport: EndpointTransport;
	peers: RelayPeers;
	/** Proves to peers that this is a daemon of the fleet; `undefined` while it is unknown. */
	fleetKey: () => string | undefined;
	/** A peer did not accept the key. */
	onKeyRefused: () => void;
};

/** A request to one endpoint. */
export type RelayedRequest = Omit<OutgoingRequest, 'endpoint' | 'dedicatedConnection'> & {
	endpoint: LiveEndpoint;
	/** It goes through the endpoint's gatekeeper, and to no other peer if that one has no room. */
	isGuarded: boolean;
	/** Weights version that the endpoint was chosen for; `undefined` for plain services. */
	weights: number | undefined;
	/** It must not run twice, so it isn't sent over a connection that may hang. */
	isOnce: boolean;
	/** Called with the name of each peer that the request is sent to. */
	onPeer: (peer: string) => void;
};

/** Passes requests on. */
export type Relay = {
	/** Whether there is a peer that may pass on a request to the endpoint. */
	isAvailable: (endpointId: string) => boolean;
	/** Whether another daemon guards the endpoint and can be reached. */
	hasGatekeeper: (endpointId: string) => boolean;
	/**
	 * Sends a request through one peer after the other until one passes it on. Ends with
	 * `connect_failed` if none has a path, with `no_room` if the gatekeeper declines, and with `relay_lost` if the peer was lost after it got
	 * the request.
	 */
	send: (request: RelayedRequest, events: ExchangeEvents) => Exchange;
	/** Asks some peers for their opinions on an endpoint. */
	opinionsOn: (endpoint: LiveEndpoint) => Promise<EndpointOpinion[]>;
	/** Asks peers by name where a stream began; silent peers are left out. */
	askOrigin: (names: readonly string[], question: OriginQuestion) => Array<Promise<OriginAnswer>>;
};

/** Peers that one request is sent to at most. */
const maxPeers = 6;

/** Peers that are asked whether an endpoint accepts connections. */
const witnessCount = 3;

/** Timeout of this question, in milliseconds. */
const witnessTimeoutMs = 600;

/** The same of the question where a stream began, for which its caller waits. */
const originTimeoutMs = 250;

const ownHeaders: ReadonlySet<string> = new Set([outcomeHeader, reasonHeader, unframedHeader]);

/** The endpoint's response head, without the peer's headers and without chunks that only the peer has added. */
function endpointHead({status, headers}: ResponseHead): ResponseHead {
	const isUnframed = headerValue(headers, unframedHeader) !== undefined;
	const kept: string[] = [];
	for (let index = 0; index + 1 < headers.length; index += 2) {
		const name = headers[index].toLowerCase();
		if (!ownHeaders.has(name) && !(isUnframed && name === 'transfer-encoding')) {
			kept.push(headers[index], headers[index + 1]);
		}
	}

	return {status, headers: kept};
}

const isFailureClass = (text: string | undefined): text is FailureClass => text !== undefined && Object.hasOwn(failureClasses, text);

/** Creates a relay. */
export function createRelay({transport, peers, fleetKey, onKeyRefused}: RelayOptions): Relay {
	const headersFor = (purpose: RelayPurpose): string[] => [purposeHeader, purpose, keyHeader, fleetKey() ?? ''];

	const endpointHeadersFor = (purpose: RelayPurpose, {id, startedAt}: LiveEndpoint): string[] => [
		...headersFor(purpose), endpointHeader, id, startedAtHeader, String(startedAt),
	];

	const addressOf = (peer: RelayPeer) => ({name: peer.name, address: `http://${peer.address}`});

	const recordDecline = (peer: RelayPeer, endpoint: LiveEndpoint, reason: string | undefined): void => {
		if (reason === noPathReason) {
			peers.hasNoPath(peer.name, endpoint.id);
			return;
		}

		peers.failed(peer.name);
		if (reason === wrongKeyReason) {
			onKeyRefused();
		}
	};

	const send = (request: RelayedRequest, events: ExchangeEvents): Exchange => {
		const {endpoint} = request;
		const tried = new Set<string>();
		let current: Exchange | undefined;
		let isAborted = false;

		const sendThrough = (peer: RelayPeer): void => {
			const ended = peers.started(peer.name);
			let outcome: RelayOutcome | undefined;
			let reason: string | undefined;
			let isEndVisible = false;
			transport.allowConnectionReuse(addressOf(peer));
			current = transport.send({
				...request,
				endpoint: addressOf(peer),
				headers: [...request.headers, ...endpointHeadersFor('send', endpoint), ...(request.weights === undefined ? [] : [weightsHeader, String(request.weights)])],
				// The handshake shows that the path to the peer works.
				dedicatedConnection: request.isOnce,
			}, {
				...events,
				head(head) {
					outcome = headerValue(head.headers, outcomeHeader) as RelayOutcome | undefined;
					reason = headerValue(head.headers, reasonHeader);
					isEndVisible = isSelfDelimiting(head, request.method);
					if (outcome === 'passed') {
						events.head(endpointHead(head));
					}
				},
				data(chunk) {
					if (outcome === 'passed') {
						events.data(chunk);
					}
				},
				end(trailers) {
					ended();
					if (outcome === 'passed' && isEndVisible) {
						events.end(trailers);
					} else if (outcome === 'passed') {
						events.failed('truncated');
					} else if (outcome === 'declined' && reason === noRoomReason) {
						events.failed('no_room');
					} else if (outcome === 'declined') {
						recordDecline(peer, endpoint, reason);
						sendToNext();
					} else {
						events.failed(isFailureClass(reason) ? reason : 'relay_lost');
					}
				},
				failed(failure, cause) {
					ended();
					if (outcome === 'passed' || failure === 'withdrawn' || failure === 'unsendable') {
						events.failed(failure, cause);
						return;
					}

					peers.failed(peer.name);
					if (failureClasses[failure].reach === 'nothing') {
						sendToNext();
					} else {
						events.failed('relay_lost', cause);
					}
				},
			});
		};

		const sendToNext = (): void => {
			const choose = request.isGuarded ? peers.gatekeeper : peers.choose;
			const peer = tried.size < maxPeers && !isAborted ? choose(endpoint.id, tried) : undefined;
			if (peer === undefined) {
				events.failed(isAborted ? 'withdrawn' : 'connect_failed');
				return;
			}

			tried.add(peer.name);
			request.onPeer(peer.name);
			sendThrough(peer);
		};

		sendToNext();
		return {
			pause() {
				current?.pause();
			},
			resume() {
				current?.resume();
			},
			batchReads(everyMs) {
				current?.batchReads(everyMs);
			},
			abort(reason, suspect) {
				isAborted = true;
				current?.abort(reason, suspect);
			},
		};
	};

	/** Asks a peer; resolves to the headers of its answer, or to none if it doesn't answer in time. */
	const ask = async (peer: RelayPeer, headers: readonly string[], timeoutMs: number): Promise<readonly string[]> => new Promise(resolve => {
		let answered: readonly string[] = [];
		const timer = setTimeout(() => {
			exchange.abort(new EndpointExchangeError('The peer did not respond in time.'), true);
			resolve([]);
		}, timeoutMs);
		const finish = (): void => {
			clearTimeout(timer);
			resolve(answered);
		};

		transport.allowConnectionReuse(addressOf(peer));
		const exchange = transport.send({
			endpoint: addressOf(peer), method: 'GET', path: '/', headers, dedicatedConnection: false,
		}, {
			beforeSend: () => true,
			progress: () => undefined,
			head(head) {
				answered = head.headers;
			},
			data: () => undefined,
			end: finish,
			failed: finish,
		});
	});

	const opinionOf = async (peer: RelayPeer, endpoint: LiveEndpoint): Promise<EndpointOpinion> => {
		const stated = headerValue(await ask(peer, endpointHeadersFor('check', endpoint), witnessTimeoutMs), reasonHeader);
		return stated === 'reached' || stated === 'refused' ? stated : 'unknown';
	};

	const originFrom = async (peer: RelayPeer, {key, service}: OriginQuestion): Promise<OriginAnswer> => {
		const headers = await ask(peer, [...headersFor('origin'), streamHeader, key, serviceHeader, encodeURIComponent(service)], originTimeoutMs);
		const kind = headerValue(headers, reasonHeader);
		return kind === 'began' || kind === 'sole'
			? {kind, origin: {service: decodeURIComponent(headerValue(headers, serviceHeader) ?? ''), software: decodeURIComponent(headerValue(headers, softwareHeader) ?? '')}}
			: {kind: 'unknown'};
	};

	return {
		isAvailable: endpointId => fleetKey() !== undefined && peers.choose(endpointId, new Set()) !== undefined,
		hasGatekeeper: endpointId => fleetKey() !== undefined && peers.gatekeeper(endpointId, new Set()) !== undefined,
		send,
		opinionsOn: async endpoint => Promise.all(peers.witnesses(endpoint.id, witnessCount).map(async peer => opinionOf(peer, endpoint))),
		askOrigin: (names, question) => fleetKey() === undefined ? [] : peers.named(names).map(async peer => originFrom(peer, question)),
	};
}
