/** Wires the parts of one daemon by name. */
import {
	asFunction, asValue, type AwilixContainer, createContainer, InjectionMode,
} from 'awilix';
import {createEngineClient, type EngineClient} from 'hickorywalk/endpoints.js';
import {createFairQueue, type FairQueue} from 'hickorywalk/fairness.js';
import {
	createGatewayServer, createModelGateway, type GatewayServer, type HashPrompt, type KeyRing, type ModelGateway,
	type Placer, type RetryBudget, type TokenLimiter,
} from 'hickorywalk/gateway.js';
import {
	createLog, createMetrics, createSilentMetrics, type Log, type Metrics,
} from 'hickorywalk/observability.js';
import {createHttpPlatform} from 'hickorywalk/platform.js';
import {createPromptHasher} from 'hickorywalk/routing.js';
import {
	createOpenBudget, createOpenLimiter, createPlainKeyRing, createPollingFollower, createRoundRobinPlacer,
} from './first-parts.js';
import {addPlainForward} from './plain-forward.js';
import {type Settings} from './settings.js';

/** Every part of a daemon. */
export type Parts = {
	settings: Settings;
	state: {ready: boolean};
	platform: ReturnType<typeof createHttpPlatform>;
	follower: ReturnType<typeof createPollingFollower>;
	keyRing: KeyRing;
	limiter: TokenLimiter;
	placer: Placer;
	budget: RetryBudget;
	hashPrompt: HashPrompt;
	engines: EngineClient;
	queueOf: (service: string) => FairQueue;
	log: Log;
	metrics: Metrics;
	models: ModelGateway;
	server: GatewayServer;
};

const pollMs = 500;

/** Registers the parts; each is made when it is first asked for. */
export async function createParts(settings: Settings): Promise<AwilixContainer<Parts>> {
	const hasher = await createPromptHasher();
	const container = createContainer<Parts>({injectionMode: InjectionMode.PROXY, strict: true});
	container.register({
		settings: asValue(settings),
		state: asValue({ready: false}),
		hashPrompt: asValue<HashPrompt>((identity, prompt, pieceBytes) => hasher.hash(identity, prompt, pieceBytes)),
		platform: asFunction(() => createHttpPlatform({baseUrl: settings.platform.url, timeoutMs: settings.platform.timeoutMs})).singleton(),
		follower: asFunction(({platform}: Parts) => createPollingFollower(platform, pollMs)).singleton(),
		keyRing: asFunction(({follower}: Parts) => createPlainKeyRing(follower.current)).singleton(),
		limiter: asFunction(createOpenLimiter).singleton(),
		placer: asFunction(({follower}: Parts) => createRoundRobinPlacer(follower.current)).singleton(),
		budget: asFunction(createOpenBudget).singleton(),
		engines: asFunction(() => createEngineClient(settings.engines)).singleton(),
		queueOf: asFunction(createQueues).singleton(),
		log: asFunction(() => createLog('gateway')).singleton(),
		metrics: asFunction(() => (settings.metrics === undefined ? createSilentMetrics() : createMetrics(settings.metrics))).singleton(),
		models: asFunction(createModels).singleton(),
		server: asFunction(createServer).singleton(),
	});
	return container;
}

function createQueues({settings, follower}: Parts): Parts['queueOf'] {
	const queues = new Map<string, FairQueue>();
	const countEndpoints = (service: string) => follower.current()?.document.endpoints.filter(item => item.service === service).length ?? 0;
	return service => {
		let queue = queues.get(service);
		if (queue === undefined) {
			queue = createFairQueue({
				limit: () => Math.max(1, countEndpoints(service) * settings.engines.slotsPerEndpoint),
				...settings.queue,
			});
			queues.set(service, queue);
		}

		return queue;
	};
}

function createModels(parts: Parts): ModelGateway {
	const {settings, follower, log, metrics} = parts;
	return createModelGateway({
		configuration: follower.current,
		keyRing: parts.keyRing,
		limiter: parts.limiter,
		placer: parts.placer,
		budget: parts.budget,
		hashPrompt: parts.hashPrompt,
		engines: parts.engines,
		queueOf: parts.queueOf,
		bounds: settings.gateway,
		onRecord({workspace, service, result}) {
			metrics.count('requests', 1, {workspace, service, result});
		},
		onEndpointFailure(requestId, endpoint, err) {
			log.warn('Endpoint failed a request.', {requestId, endpoint, err});
		},
	});
}

function createServer({settings, follower, keyRing, models, state, log}: Parts): GatewayServer {
	return createGatewayServer({
		models,
		configuration: follower.current,
		keyRing,
		isReady: () => state.ready && follower.current() !== undefined,
		largestBodyBytes: settings.gateway.largestBodyBytes,
		largestHeaderBytes: settings.gateway.largestHeaderBytes,
		extend(app) {
			addPlainForward(app, keyRing, follower.current);
		},
		onFault(err) {
			log.error('A request met a fault of the router.', {err});
		},
	});
}
