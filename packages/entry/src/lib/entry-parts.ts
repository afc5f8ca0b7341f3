/** Dependency injection container of the entry daemon; parts are created lazily. */
import {
	type BootSettings, createCallHeaders, createEndpointControl, createStoreClient,
} from '@hickorywalk/platform';
import {
	asFunction, asValue, type AwilixContainer, createContainer, InjectionMode,
} from 'awilix';
import {
	createDocumentGuard, createEndpointPresence, createFleetClock, createFleetView,
} from 'hickorywalk/fleet.js';
import {createEntryServer, createForwarder} from 'hickorywalk/forwarding.js';
import {createLineBudget, createLog} from 'hickorywalk/observability.js';
import {createUndiciTransport} from 'hickorywalk/orders.js';
import {createEndpointLoadTracker, createStoredParts, createResidentParts} from 'hickorywalk/placing.js';
import {createUnprovenVersions} from 'hickorywalk/releases.js';
import {createHealthTracker} from 'hickorywalk/routing.js';
import {createEventLoopLag} from 'hickorywalk/time.js';
import {createEngineVersions, createWeightsDeadlines} from 'hickorywalk/weights.js';
import {createDaemonMetrics} from './daemon-metrics.js';
import {timingsFor} from './timings.js';
import {
	wireWeightsRollout, wireLeases, wireNamingRecord, wireRolloutTimer,
} from './wiring/lease-wiring.js';
import {wireEndpointFeed, wireOperatorFeed} from './wiring/feed-wiring.js';
import {type EntryParts} from './wiring/parts.js';
import {wireDirectory, wirePeers} from './wiring/peer-wiring.js';
import {
	wireConnectionCheck, wireFleetKey, wireOpinionOn, wirePaths, wireRelay, wireRelayServer,
} from './wiring/path-wiring.js';
import {wireCrashWatch, wireQuarantine, wireRefusalRows} from './wiring/quarantine-wiring.js';
import {
	unfinishedHeadBytes, wireBufferAccount, wireHeapWatch, wireRequestHeap,
} from './wiring/memory-wiring.js';
import {wireConnectionTurns, wireServerLimiters} from './wiring/connection-wiring.js';
import {
	wireAdmission, wireBackoff, wireBrittle, wireCapacityWait, wireChoice, wireConnectionShares, wireEvents, wireLimits, wireQuota,
} from './wiring/request-wiring.js';
import {wireFleetSize} from './wiring/fleet-size.js';
import {wireRetries, wireRetryPart} from './wiring/retry-wiring.js';
import {
	wireOriginFinder, wireSoftwareHistory, wireSoftwareRecord, wireStreamOrigins, wireStreamRoutes, wireStreamRows,
} from './wiring/stream-wiring.js';

const connectTimeoutMs = 300;

/** Log lines per second; bounds the CPU time spent on logging. */
const logLinesPerSecond = {answered: 100, other: 60};

/** Upper bound on open connections per endpoint; admission normally stays far below it. */
const maxConnectionsPerEndpoint = 512;

/** Creates the container of one daemon. */
export function createEntryParts(settings: BootSettings): AwilixContainer<EntryParts> {
	const container = createContainer<EntryParts>({injectionMode: InjectionMode.PROXY, strict: true});
	container.register({
		settings: asValue(settings),
		timings: asValue(timingsFor(settings)),
		state: asValue({isStopping: false, isClosed: false, servesUntil: Number.POSITIVE_INFINITY}),
		incarnation: asValue(Date.now()),
		log: asValue(createLog('entry', {vm: settings.name, dataCentre: settings.dataCentre})),
		clock: asFunction(({store}: EntryParts) => createFleetClock(store)).singleton(),
		view: asFunction(({log, clock}: EntryParts) => createFleetView(log, clock)).singleton(),
		documentGuard: asFunction(({view, timings}: EntryParts) => createDocumentGuard({view, maxWaitMs: timings.catchUpMs})).singleton(),
		versions: asFunction((parts: EntryParts) => createEngineVersions({
			// Each renewal of the lease is reported to all peers, and a plan can't outlive its lease.
			planRepeatMs: () => Math.min(parts.peers.silenceMs(), parts.timings.leaseMs),
		})).singleton(),
		weightsDeadlines: asFunction(({view}: EntryParts) => createWeightsDeadlines({view, weightsMs: settings.weightsMs})).singleton(),
		releases: asFunction(({view, log}: EntryParts) => createUnprovenVersions({view, log})).singleton(),
		loadTracker: asFunction((parts: EntryParts) => createEndpointLoadTracker({
			onLarge() {
				parts.peers.sendRoundEarly();
			},
			refreshMs: () => parts.peers.refreshMs(),
		})).singleton(),
		presence: asFunction(({log}: EntryParts) => createEndpointPresence(log)).singleton(),
		health: asFunction(() => createHealthTracker({
			consecutiveFailures: 2, ejectionMs: 1000, longestEjectionMs: 8000, returnMs: 3000,
		})).singleton(),
		storedParts: asFunction(() => createStoredParts()).singleton(),
		residentParts: asFunction(({view}: EntryParts) => createResidentParts({memoryTokens: view.memoryTokens})).singleton(),
		quota: asFunction(wireQuota).singleton(),
		quarantine: asFunction(wireQuarantine).singleton(),
		refusalRows: asFunction(wireRefusalRows).singleton(),
		crashWatch: asFunction(wireCrashWatch).singleton(),
		checkConnection: asFunction(wireConnectionCheck).singleton(),
		opinionOn: asFunction(wireOpinionOn).singleton(),
		paths: asFunction(wirePaths).singleton(),
		fleetKey: asFunction(wireFleetKey).singleton(),
		relay: asFunction(wireRelay).singleton(),
		relayServer: asFunction(wireRelayServer).singleton(),
		streamRoutes: asFunction(wireStreamRoutes).singleton(),
		softwareHistory: asFunction(wireSoftwareHistory).singleton(),
		softwareRecord: asFunction(wireSoftwareRecord).singleton(),
		origins: asFunction(wireStreamOrigins).singleton(),
		streamRows: asFunction(wireStreamRows).singleton(),
		originFinder: asFunction(wireOriginFinder).singleton(),
		limits: asFunction(wireLimits).singleton(),
		backoff: asFunction(wireBackoff).singleton(),
		brittle: asFunction(wireBrittle).singleton(),
		capacityWait: asFunction(wireCapacityWait).singleton(),
		connectionShares: asFunction(wireConnectionShares).singleton(),
		choice: asFunction(wireChoice).singleton(),
		admission: asFunction(wireAdmission).singleton(),
		store: asFunction(({timings, metrics, log}: EntryParts) => createStoreClient({
			address: settings.storeAddress, timeoutMs: timings.storeTimeoutMs * 2, onCall: metrics.storeCalled, onLateCall: metrics.storeLate, onExtendedCall: metrics.storeExtended, log,
		})).singleton(),
		ownTable: asFunction(({store}: EntryParts) => store.table('hickorywalk')).singleton(),
		operatorFeed: asFunction(wireOperatorFeed).singleton(),
		endpointFeed: asFunction(wireEndpointFeed).singleton(),
		peers: asFunction(wirePeers).singleton(),
		directory: asFunction(wireDirectory).singleton(),
		leases: asFunction(wireLeases).singleton(),
		control: asFunction(({timings, view}: EntryParts) => createEndpointControl({
			timeoutMs: timings.engineTimeoutMs,
			onLeaving(endpoint) {
				view.markLeaving(endpoint, 'answer');
			},
		})).singleton(),
		weightsRollout: asFunction(wireWeightsRollout).singleton(),
		rolloutTimer: asFunction(wireRolloutTimer).singleton(),
		namingRecord: asFunction(wireNamingRecord).singleton(),
		transport: asFunction(({eventLoopLag}: EntryParts) => createUndiciTransport({
			connectMs: connectTimeoutMs, connectionsPerPool: maxConnectionsPerEndpoint, eventLoopLag,
		})).singleton(),
		retries: asFunction(wireRetries).singleton(),
		retryPart: asFunction(wireRetryPart).singleton(),
		fleetSize: asFunction(wireFleetSize).singleton(),
		events: asFunction(wireEvents).singleton(),
		metrics: asFunction(() => createDaemonMetrics()).singleton(),
		logLineBudget: asFunction(() => createLineBudget({perSecond: logLinesPerSecond})).singleton(),
		bufferAccount: asFunction(wireBufferAccount).singleton(),
		requestHeap: asFunction(wireRequestHeap).singleton(),
		heapWatch: asFunction(wireHeapWatch).singleton(),
		eventLoopLag: asFunction(() => createEventLoopLag()).singleton(),
		turns: asFunction(wireConnectionTurns).singleton(),
		serverLimiters: asFunction(wireServerLimiters).singleton(),
		forwarder: asFunction((parts: EntryParts) => createForwarder({
			view: parts.view,
			document: parts.documentGuard.current,
			headers: createCallHeaders(),
			quota: parts.quota,
			quarantine: parts.quarantine,
			crashWatch: parts.crashWatch,
			limits: parts.limits,
			backoff: parts.backoff,
			brittle: parts.brittle,
			paths: parts.paths,
			relay: parts.relay,
			capacityWait: parts.capacityWait,
			admission: parts.admission,
			origins: parts.origins,
			originFinder: parts.originFinder,
			choice: parts.choice,
			loadTracker: parts.loadTracker,
			health: parts.health,
			presence: parts.presence,
			versions: parts.versions,
			weightsDeadlines: parts.weightsDeadlines,
			transport: parts.transport,
			bufferAccount: parts.bufferAccount,
			eventLoopLag: parts.eventLoopLag,
			isClosed: () => parts.state.isClosed,
			servesUntil: () => parts.state.servesUntil,
			budgetOf: parts.retries.budgetOf,
			random: Math.random,
			events: parts.events,
		})).singleton(),
		server: asFunction(({
			settings, forwarder, state, bufferAccount, requestHeap, heapWatch, eventLoopLag, serverLimiters, log,
		}: EntryParts) => createEntryServer({
			forwarder,
			isStopping: () => state.isStopping,
			bufferAccount,
			requestHeap,
			maxUnfinishedHeadBytes: unfinishedHeadBytes(settings),
			isHeapNearLimit: heapWatch.isNearLimit,
			eventLoopLag,
			limitConnections: serverLimiters.callers,
			log,
		})).singleton(),
	});
	return container;
}
