/** The parts of a daemon, by the names under which the container resolves them. */
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

/** Runs the duties whose leases this daemon holds. */
export type DutyRunner = {
	start: () => void;
	stop: () => void;
};

/** Called for each answered request; `startedAt` is a time of `performance.now()`. */
export type TraceTap = (request: PlacementRequest, startedAt: number, outputTokens: number) => void;

/** State that changes as a daemon starts and stops. */
export type DaemonState = {
	/** Whether the load balancer should send requests to this daemon. */
	ready: boolean;
	/** Host and port at which peers reach this daemon; empty until its port is bound. */
	peerAddress: string;
};

/** All parts. Parts that depend on each other resolve the other one on use, not at creation, since the container can't resolve cycles. */
export type Parts = {
	settings: Settings;
	state: DaemonState;
	/** Identifies the process of this daemon; increases with each start. */
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
	/** Tells the placer which endpoints may get new requests now. */
	refreshEndpoints: () => void;
	picker: EndpointPicker;
	serviceProxy: ServiceProxy;
	queueOf: (service: string) => FairQueue;
	serviceLevels: ServiceLevels;
	upkeep: ServiceLevelUpkeep;
	recovery: Recovery;
	leases: LeaseHolder;
	engineControl: ReturnType<typeof createHttpEngineControl>;
	dutyRunner: DutyRunner;
	/** One tap per trace recording in progress. */
	traceTaps: Set<TraceTap>;
	models: ModelGateway;
	server: GatewayServer;
	administration: AdministrationServer;
};
