/** Wires the parts of one daemon by name. */
import {
	asFunction, asValue, type AwilixContainer, createContainer, InjectionMode,
} from 'awilix';
import {
	type ConfigurationFollower, type ConfigurationStore, createConfigurationFollower, createConfigurationStore, createCurrentIndex,
	createKeyRing, type DocumentIndex, type Endpoint,
} from 'hickorywalk/configuration.js';
import {
	createEndpointPicker, createEndpointWatch, createEngineClient, createEngineProbe, type EndpointPicker,
	type EndpointWatch, type EngineClient, type EngineProbe,
} from 'hickorywalk/endpoints.js';
import {createFairQueue, type FairQueue} from 'hickorywalk/fairness.js';
import {
	addPlainRoute, createGatewayServer, createModelGateway, type GatewayServer, type HashPrompt, type KeyRing, type ModelGateway,
	type RequestRecord, type RetryBudget, type TokenLimiter,
} from 'hickorywalk/gateway.js';
import {
	createLog, createMetrics, createSilentMetrics, type Log, type Metrics,
} from 'hickorywalk/observability.js';
import {createServiceProxy, type ServiceProxy} from 'hickorywalk/orders.js';
import {createHttpPlatform} from 'hickorywalk/platform.js';
import {
	createPlacer, createPromptHasher, createRetryBudget, type LearningPlacer,
} from 'hickorywalk/routing.js';
import {type Settings} from './settings.js';

/** Every part of a daemon. */
export type Parts = {
	settings: Settings;
	state: {ready: boolean};
	platform: ReturnType<typeof createHttpPlatform>;
	configurationStore: ConfigurationStore;
	follower: ConfigurationFollower;
	/** The configuration in force with its indexes; `undefined` while the daemon may not serve. */
	configuration: () => DocumentIndex | undefined;
	keyRing: KeyRing;
	limiter: TokenLimiter;
	placer: LearningPlacer;
	budget: RetryBudget;
	hashPrompt: HashPrompt;
	engines: EngineClient;
	engineProbe: EngineProbe;
	endpointWatch: EndpointWatch;
	picker: EndpointPicker;
	serviceProxy: ServiceProxy;
	queueOf: (service: string) => FairQueue;
	log: Log;
	metrics: Metrics;
	models: ModelGateway;
	server: GatewayServer;
};

/** Registers the parts; each is made when it is first asked for. */
export async function createParts(settings: Settings): Promise<AwilixContainer<Parts>> {
	const hasher = await createPromptHasher();
	const container = createContainer<Parts>({injectionMode: InjectionMode.PROXY, strict: true});
	container.register({
		settings: asValue(settings),
		state: asValue({ready: false}),
		hashPrompt: asValue<HashPrompt>((identity, prompt, pieceBytes) => hasher.hash(identity, prompt, pieceBytes)),
		platform: asFunction(() => createHttpPlatform({baseUrl: settings.platform.url, timeoutMs: settings.platform.timeoutMs})).singleton(),
		configurationStore: asFunction(({platform}: Parts) => createConfigurationStore({platform})).singleton(),
		follower: asFunction(createFollower).singleton(),
		configuration: asFunction(createConfiguration).singleton(),
		keyRing: asFunction(({follower}: Parts) => createKeyRing(follower)).singleton(),
		limiter: asFunction(createOpenLimiter).singleton(),
		placer: asFunction(createWiredPlacer).singleton(),
		budget: asFunction(() => createRetryBudget()).singleton(),
		engines: asFunction(() => createEngineClient(settings.engines)).singleton(),
		engineProbe: asFunction(() => createEngineProbe({timeoutMs: settings.engines.probeMs})).singleton(),
		endpointWatch: asFunction(createWatch).singleton(),
		picker: asFunction(createPicker).singleton(),
		serviceProxy: asFunction(createProxy).singleton(),
		queueOf: asFunction(createQueues).singleton(),
		log: asFunction(() => createLog('gateway')).singleton(),
		metrics: asFunction(() => (settings.metrics === undefined ? createSilentMetrics() : createMetrics(settings.metrics))).singleton(),
		models: asFunction(createModels).singleton(),
		server: asFunction(createServer).singleton(),
	});
	return container;
}

function createFollower({configurationStore, log}: Parts): ConfigurationFollower {
	return createConfigurationFollower({
		loader: configurationStore,
		send: () => undefined,
		peers: () => ({nearby: [], distant: [], rank: 0}),
		reach: () => ({heard: 1, listed: 1}),
		onRefused(version, err) {
			log.error('A configuration can\'t come into force here.', {version, err});
		},
	});
}

function createConfiguration({follower}: Parts): Parts['configuration'] {
	const index = createCurrentIndex(follower.current);
	return () => (follower.mayServe() ? index() : undefined);
}

/** Grants whatever is asked for. */
function createOpenLimiter(): TokenLimiter {
	return {
		reserve: async (_workspace, tokens) => ({granted: true, reservation: {tokens, settle: () => undefined}}),
	};
}

function createWiredPlacer({follower, configuration}: Parts): LearningPlacer {
	const placer = createPlacer({
		random: Math.random,
		pieceTokensOf(name) {
			const service = configuration()?.service(name);
			return service?.kind === 'model' ? service.pieceTokens : 1;
		},
	});
	follower.subscribe(({document}) => {
		placer.setEndpoints(document.endpoints.map(({name, service, dataCentre}) => ({
			name, service, dataCentre, usable: true,
		})));
	});
	return placer;
}

function modelEndpoints(index: DocumentIndex | undefined): readonly Endpoint[] {
	const endpoints: Endpoint[] = [];
	for (const service of index?.accepted.document.services ?? []) {
		if (service.kind === 'model') {
			endpoints.push(...index?.endpointsOf(service.name) ?? []);
		}
	}

	return endpoints;
}

function createWatch({settings, configuration, engineProbe, placer, log}: Parts): EndpointWatch {
	return createEndpointWatch({
		endpoints: () => modelEndpoints(configuration()),
		probe: engineProbe.probe,
		roundMs: settings.engines.probeMs,
		mostPerSecond: settings.engines.mostProbesPerSecond,
		onReport(endpoint, report) {
			placer.observe(endpoint, report);
		},
		onSilence(endpoint) {
			log.debug('Endpoint did not tell its state.', {endpoint});
		},
	});
}

function createPicker({configuration}: Parts): EndpointPicker {
	return createEndpointPicker({
		endpointsOf: service => configuration()?.endpointsOf(service) ?? [],
		random: Math.random,
	});
}

function createProxy({platform, picker, configuration, metrics, log}: Parts): ServiceProxy {
	const budgets = new Map<string, RetryBudget>();
	const budgetOf = (service: string) => {
		const budget = budgets.get(service) ?? createRetryBudget();
		budgets.set(service, budget);
		return budget;
	};

	return createServiceProxy({
		table: platform.table,
		retryBudget: {
			take: service => budgetOf(service).withdraw(),
			deposit(service) {
				budgetOf(service).deposit();
			},
		},
		directory(name) {
			const index = configuration();
			const service = index?.plainService(name);
			return index === undefined || service === undefined ? undefined : {service, endpoints: index.endpointsOf(name)};
		},
		onEvent(event, service) {
			metrics.count('service_calls', 1, {service, result: event});
		},
		onEndpointFailure(endpoint, failure) {
			picker.failed(endpoint.name);
			log.warn('Endpoint failed a call.', {endpoint: endpoint.name, result: failure});
		},
	});
}

function createQueues({settings, configuration}: Parts): Parts['queueOf'] {
	const queues = new Map<string, FairQueue>();
	const countEndpoints = (service: string) => configuration()?.endpointsOf(service).length ?? 0;
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
	const {settings, log, metrics} = parts;
	return createModelGateway({
		configuration: parts.configuration,
		versionsOf: parts.endpointWatch.versionsOf,
		keyRing: parts.keyRing,
		limiter: parts.limiter,
		placer: parts.placer,
		budget: parts.budget,
		hashPrompt: parts.hashPrompt,
		engines: parts.engines,
		queueOf: parts.queueOf,
		bounds: settings.gateway,
		onRecord(record) {
			measure(metrics, record);
		},
		onEndpointFailure(requestId, endpoint, err) {
			log.warn('Endpoint failed a request.', {requestId, endpoint, err});
		},
	});
}

function measure(metrics: Metrics, {workspace, service, result, durationMs, firstTokenMs, usage}: RequestRecord): void {
	const tags = {workspace, service, result};
	metrics.count('requests', 1, tags);
	metrics.timing('request_ms', durationMs, tags);
	if (firstTokenMs !== undefined) {
		metrics.timing('first_token_ms', firstTokenMs, tags);
	}

	if (usage !== undefined) {
		metrics.count('prompt_tokens', usage.promptTokens, tags);
		metrics.count('cached_tokens', usage.cachedTokens, tags);
		metrics.count('output_tokens', usage.outputTokens, tags);
	}
}

function createServer(parts: Parts): GatewayServer {
	const {settings, configuration, keyRing, models, state, log, metrics} = parts;
	const onFault = (err: unknown) => {
		log.error('A request met a fault of the router.', {err});
	};

	return createGatewayServer({
		models,
		configuration,
		keyRing,
		isReady: () => state.ready && configuration() !== undefined,
		largestBodyBytes: settings.gateway.largestBodyBytes,
		largestHeaderBytes: settings.gateway.largestHeaderBytes,
		extend(app) {
			addPlainRoute(app, {
				configuration,
				keyRing,
				picker: parts.picker,
				proxy: parts.serviceProxy,
				deadlineMs: settings.gateway.deadlineMs,
				onEnd(workspace, service, result, durationMs) {
					metrics.timing('service_call_ms', durationMs, {workspace, service, result});
				},
				onFault,
			});
		},
		onFault,
	});
}
