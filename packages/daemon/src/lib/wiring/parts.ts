/** Every part of a daemon, by the name under which others ask for it. */
import {type AdministrationServer} from 'hickorywalk/administration.js';
import {type ConfigurationFollower, type ConfigurationStore, type DocumentIndex} from 'hickorywalk/configuration.js';
import {
	type EndpointPicker, type EndpointWatch, type EngineClient, type EngineProbe,
} from 'hickorywalk/endpoints.js';
import {type FairQueue} from 'hickorywalk/fairness.js';
import {
	type GatewayServer, type HashPrompt, type KeyRing, type ModelGateway, type PlacementRequest, type RetryBudget,
} from 'hickorywalk/gateway.js';
import {type LeaseHolder} from 'hickorywalk/leases.js';
import {type FleetTokenLimiter} from 'hickorywalk/limits.js';
import {type PeerNetwork} from 'hickorywalk/links.js';
import {type Membership} from 'hickorywalk/membership.js';
import {
	type Log, type Metrics, type ServiceLevels, type ServiceLevelUpkeep,
} from 'hickorywalk/observability.js';
import {type ServiceProxy} from 'hickorywalk/orders.js';
import {type Platform} from 'hickorywalk/platform.js';
import {type Recovery} from 'hickorywalk/recovery.js';
import {type createHttpEngineControl} from 'hickorywalk/rollouts.js';
import {type LearningPlacer} from 'hickorywalk/routing.js';
import {type Settings} from '../settings.js';

/** The duties of one daemon, of which it may hold some. */
export type Rollouts = {
	start: () => void;
	stop: () => void;
};

/** Hears of each answered request; `startedAt` is on the monotonic clock. */
export type TraceTap = (request: PlacementRequest, startedAt: number, outputTokens: number) => void;

/** What changes as a daemon starts and stops. */
export type DaemonState = {
	/** Whether the balancer should send requests here. */
	ready: boolean;
	/** Where peers reach this daemon; known once its port is bound. */
	peerAddress: string;
};

/** The parts. Those that need each other ask when they act, not when they are made. */
export type Parts = {
	settings: Settings;
	state: DaemonState;
	/** Process of this daemon; grows with each start. */
	incarnation: bigint;
	log: Log;
	metrics: Metrics;
	platform: Platform & {close: () => Promise<void>};
	network: PeerNetwork;
	membership: Membership;
	configurationStore: ConfigurationStore;
	follower: ConfigurationFollower;
	/** The configuration in force with its indexes; `undefined` while the daemon may not serve. */
	configuration: () => DocumentIndex | undefined;
	keyRing: KeyRing;
	limiter: FleetTokenLimiter;
	placer: LearningPlacer;
	budget: RetryBudget;
	hashPrompt: HashPrompt;
	engines: EngineClient;
	engineProbe: EngineProbe;
	endpointWatch: EndpointWatch;
	/** Tells the placer which endpoints may get new work now. */
	refreshEndpoints: () => void;
	picker: EndpointPicker;
	serviceProxy: ServiceProxy;
	queueOf: (service: string) => FairQueue;
	serviceLevels: ServiceLevels;
	upkeep: ServiceLevelUpkeep;
	recovery: Recovery;
	leases: LeaseHolder;
	engineControl: ReturnType<typeof createHttpEngineControl>;
	rollouts: Rollouts;
	/** Recordings under way. */
	traceTaps: Set<TraceTap>;
	models: ModelGateway;
	server: GatewayServer;
	administration: AdministrationServer;
};
