/** Types of the entry daemon's parts, by their name in the container. */
import {type BootSettings, type createEndpointControl, type createStoreClient} from '@hickorywalk/platform';
import {type Admission} from 'hickorywalk/admission.js';
import {
	type ChangeFeed, type DocumentGuard, type EndpointPresence, type FleetClock, type FleetView,
} from 'hickorywalk/fleet.js';
import {
	type BufferAccount, type ConnectionTurns, type createEntryServer, type createForwarder, type ForwardingEvents, type HeapWatch, type RequestHeap,
} from 'hickorywalk/forwarding.js';
import {type DutyTimer, type LeaseHolder} from 'hickorywalk/leases.js';
import {type LineBudget, type Log} from 'hickorywalk/observability.js';
import {type createUndiciTransport} from 'hickorywalk/orders.js';
import {
	type ConnectionState, type EndpointPaths, type OpinionOn, type Relay, type RelayServer,
} from 'hickorywalk/paths.js';
import {type createPeerDirectory, type FleetKey, type PeerExchange} from 'hickorywalk/peers.js';
import {
	type BrittleEndpoints, type CapacityWait, type ConnectionShares, type createEndpointChoice,
	type EndpointBackoff, type EndpointLimits, type EndpointLoadTracker, type ResidentParts, type StoredParts,
} from 'hickorywalk/placing.js';
import {type CrashWatch, type Quarantine, type RefusalRows} from 'hickorywalk/quarantine.js';
import {type FleetQuota} from 'hickorywalk/quotas.js';
import {type UnprovenVersions} from 'hickorywalk/releases.js';
import {type RetryPartHolder} from 'hickorywalk/retries.js';
import {type createHealthTracker} from 'hickorywalk/routing.js';
import {type EventLoopLag, type PeriodicTask} from 'hickorywalk/time.js';
import {type OriginFinder, type SoftwareHistory, type StreamOrigins} from 'hickorywalk/streams.js';
import {
	type createWeightsRollout, type EngineVersions, type NamingRecord, type WeightsDeadlines,
} from 'hickorywalk/weights.js';
import {type DaemonMetrics} from '../daemon-metrics.js';
import {type Timings} from '../timings.js';
import {type ServerLimiters} from './connection-wiring.js';
import {type FleetSize} from './fleet-size.js';
import {type Retries} from './retry-wiring.js';
import {type StreamRoutes} from './stream-wiring.js';

/** Shutdown state of the daemon. */
export type DaemonState = {
	/** Reports unready and closes connections after each response. */
	isStopping: boolean;
	/** Rejects all further requests. */
	isClosed: boolean;
	/** `performance.now()` until which requests are served; infinite until the daemon stops. */
	servesUntil: number;
};

/** All parts by name. */
export type EntryParts = {
	settings: BootSettings;
	timings: Timings;
	state: DaemonState;
	incarnation: number;
	log: Log;
	view: FleetView;
	documentGuard: DocumentGuard;
	versions: EngineVersions;
	weightsDeadlines: WeightsDeadlines;
	clock: FleetClock;
	releases: UnprovenVersions;
	loadTracker: EndpointLoadTracker;
	presence: EndpointPresence;
	storedParts: StoredParts;
	residentParts: ResidentParts;
	health: ReturnType<typeof createHealthTracker>;
	quota: FleetQuota;
	quarantine: Quarantine;
	refusalRows: RefusalRows;
	crashWatch: CrashWatch;
	checkConnection: (address: string) => Promise<ConnectionState>;
	opinionOn: OpinionOn;
	paths: EndpointPaths;
	fleetKey: FleetKey;
	relay: Relay;
	relayServer: RelayServer;
	streamRoutes: () => StreamRoutes;
	softwareHistory: SoftwareHistory;
	softwareRecord: PeriodicTask;
	origins: StreamOrigins;
	streamRows: PeriodicTask;
	originFinder: OriginFinder;
	limits: EndpointLimits;
	backoff: EndpointBackoff;
	brittle: BrittleEndpoints;
	capacityWait: CapacityWait;
	bufferAccount: BufferAccount;
	requestHeap: RequestHeap;
	heapWatch: HeapWatch;
	eventLoopLag: EventLoopLag;
	turns: ConnectionTurns;
	serverLimiters: ServerLimiters;
	connectionShares: ConnectionShares;
	choice: ReturnType<typeof createEndpointChoice>;
	admission: Admission;
	store: ReturnType<typeof createStoreClient>;
	ownTable: ReturnType<ReturnType<typeof createStoreClient>['table']>;
	operatorFeed: ChangeFeed;
	endpointFeed: ChangeFeed;
	peers: PeerExchange;
	directory: ReturnType<typeof createPeerDirectory>;
	leases: LeaseHolder;
	control: ReturnType<typeof createEndpointControl>;
	weightsRollout: ReturnType<typeof createWeightsRollout>;
	rolloutTimer: DutyTimer;
	namingRecord: NamingRecord;
	transport: ReturnType<typeof createUndiciTransport>;
	retries: Retries;
	retryPart: RetryPartHolder;
	fleetSize: FleetSize;
	events: ForwardingEvents;
	metrics: DaemonMetrics;
	logLineBudget: LineBudget;
	forwarder: ReturnType<typeof createForwarder>;
	server: ReturnType<typeof createEntryServer>;
};
