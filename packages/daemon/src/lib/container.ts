/** Dependency-injection container of one daemon; each part is created when it is first resolved. */
import {
	asFunction, asValue, type AwilixContainer, createContainer, InjectionMode,
} from 'awilix';
import {createKeyRing} from 'hickorywalk/configuration.js';
import {createEngineClient, createEngineProbe} from 'hickorywalk/endpoints.js';
import {type HashPrompt} from 'hickorywalk/gateway.js';
import {
	createLog, createMetrics, createServiceLevels, createServiceLevelUpkeep, createSilentMetrics,
} from 'hickorywalk/observability.js';
import {createHttpPlatform} from 'hickorywalk/platform.js';
import {createHttpEngineControl} from 'hickorywalk/rollouts.js';
import {createPromptHasher, createRetryBudget} from 'hickorywalk/routing.js';
import {type Settings} from './settings.js';
import {wireLeases, wireDutyRunner} from './wiring/duty-wiring.js';
import {
	wireEndpointWatch, wirePicker, wirePlacer, wireQueues, wireRefreshEndpoints, wireServiceProxy,
} from './wiring/endpoint-wiring.js';
import {
	liveNames, wireConfiguration, wireConfigurationStore, wireFollower, wireLimiter, wireMembership, wireNetwork, wireRecovery,
} from './wiring/fleet-wiring.js';
import {wireAdministration, wireModels, wireServer} from './wiring/gateway-wiring.js';
import {type Parts, type TraceTap} from './wiring/parts.js';

/** Creates the container of one daemon. */
export async function createParts(settings: Settings): Promise<AwilixContainer<Parts>> {
	const hasher = await createPromptHasher();
	const container = createContainer<Parts>({injectionMode: InjectionMode.PROXY, strict: true});
	container.register({
		settings: asValue(settings),
		state: asValue({ready: false, peerAddress: ''}),
		incarnation: asValue(BigInt(Date.now())),
		hashPrompt: asValue<HashPrompt>((identity, prompt, pieceBytes) => hasher.hash(identity, prompt, pieceBytes)),
		log: asFunction(() => createLog('daemon', {daemon: settings.name})).singleton(),
		metrics: asFunction(() => (settings.metrics === undefined ? createSilentMetrics() : createMetrics(settings.metrics))).singleton(),
		platform: asFunction(() => createHttpPlatform({baseUrl: settings.platform.url, timeoutMs: settings.platform.timeoutMs})).singleton(),
		network: asFunction(wireNetwork).singleton(),
		membership: asFunction(wireMembership).singleton(),
		configurationStore: asFunction(wireConfigurationStore).singleton(),
		follower: asFunction(wireFollower).singleton(),
		configuration: asFunction(wireConfiguration).singleton(),
		keyRing: asFunction(({follower}: Parts) => createKeyRing(follower)).singleton(),
		limiter: asFunction(wireLimiter).singleton(),
		placer: asFunction(wirePlacer).singleton(),
		budget: asFunction(() => createRetryBudget()).singleton(),
		engines: asFunction(() => createEngineClient(settings.engines)).singleton(),
		engineProbe: asFunction(() => createEngineProbe({timeoutMs: settings.engines.probeMs})).singleton(),
		endpointWatch: asFunction(wireEndpointWatch).singleton(),
		refreshEndpoints: asFunction(wireRefreshEndpoints).singleton(),
		picker: asFunction(wirePicker).singleton(),
		serviceProxy: asFunction(wireServiceProxy).singleton(),
		queueOf: asFunction(wireQueues).singleton(),
		serviceLevels: asFunction(({platform, incarnation, log, metrics}: Parts) => createServiceLevels({
			daemon: settings.name, incarnation: String(incarnation), objects: platform.objects, log, metrics,
		})).singleton(),
		upkeep: asFunction((parts: Parts) => createServiceLevelUpkeep({
			daemon: settings.name, liveDaemons: () => liveNames(parts), objects: parts.platform.objects, log: parts.log,
		})).singleton(),
		recovery: asFunction(wireRecovery).singleton(),
		leases: asFunction(wireLeases).singleton(),
		engineControl: asFunction(({engineProbe}: Parts) => createHttpEngineControl({probe: engineProbe.probe, timeoutMs: settings.engines.probeMs})).singleton(),
		dutyRunner: asFunction(wireDutyRunner).singleton(),
		traceTaps: asFunction(() => new Set<TraceTap>()).singleton(),
		models: asFunction(wireModels).singleton(),
		server: asFunction(wireServer).singleton(),
		administration: asFunction(wireAdministration).singleton(),
	});
	return container;
}
