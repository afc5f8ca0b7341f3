/** Wires the HTTP servers: the gateway for callers and the administration API for operators. */
import {
	type AdministrationServer, createAdministrationServer, type FleetStatus,
} from 'hickorywalk/administration.js';
import {silenceBoundMs, summariseConfirmations} from 'hickorywalk/configuration.js';
import {type EngineReport} from 'hickorywalk/endpoints.js';
import {
	addPlainRoute, createGatewayServer, createModelGateway, type GatewayServer, type ModelGateway, type RequestRecord,
} from 'hickorywalk/gateway.js';
import {createBurnReport, type Metrics, type ServiceLevelEvent} from 'hickorywalk/observability.js';
import {type Parts} from './parts.js';
import {addTraceRoute, tapPlacer} from './trace-wiring.js';

/** How each result of a request counts against objectives; results that are the caller's fault are not listed and don't count. */
const serviceLevelResults: Record<string, ServiceLevelEvent['result'] | undefined> = {
	answered: 'answered',
	gone: 'cancelled',
	rate_limited: 'refused_rightly',
	overloaded: 'refused_wrongfully',
	no_endpoint: 'refused_wrongfully',
	not_ready: 'refused_wrongfully',
	engine_failed: 'failed',
	deadline_exceeded: 'failed',
	internal_error: 'failed',
	// Results of calls to plain services.
	replayed: 'answered',
	not_run: 'refused_wrongfully',
	store_unavailable: 'refused_wrongfully',
	unknown: 'failed',
	no_answer: 'failed',
};

export function wireModels(parts: Parts): ModelGateway {
	const {settings, log, metrics, serviceLevels} = parts;
	return createModelGateway({
		configuration: parts.configuration,
		versionsOf: parts.endpointWatch.versionsOf,
		keyRing: parts.keyRing,
		limiter: parts.limiter,
		placer: tapPlacer(parts.placer, parts.traceTaps),
		budget: parts.budget,
		hashPrompt: parts.hashPrompt,
		engines: parts.engines,
		queueOf: parts.queueOf,
		bounds: settings.gateway,
		onRecord(record) {
			recordMetrics(metrics, record);
			recordServiceLevel(serviceLevels, record, record.result, record.firstTokenMs);
		},
		onEndpointFailure(requestId, endpoint, err) {
			log.warn('Endpoint failed a request.', {requestId, endpoint, err});
		},
	});
}

type CalledService = {workspace: string; service: string};

function recordServiceLevel(levels: Parts['serviceLevels'], {workspace, service}: CalledService, ended: string, firstTokenMs?: number): void {
	const result = serviceLevelResults[ended];
	if (result !== undefined && workspace !== '' && service !== '') {
		levels.record({
			workspace, service, result, ...(firstTokenMs !== undefined && {firstTokenMs}),
		});
	}
}

function recordMetrics(metrics: Metrics, {workspace, service, result, durationMs, firstTokenMs, usage}: RequestRecord): void {
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

export function wireServer(parts: Parts): GatewayServer {
	const {settings, configuration, keyRing, models, state, log, metrics, serviceLevels} = parts;
	const onFault = (err: unknown) => {
		log.error('A request failed with an internal error of the router.', {err});
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
					recordServiceLevel(serviceLevels, {workspace, service}, result);
				},
				onFault,
			});
		},
		onFault,
	});
}

export function wireAdministration(parts: Parts): AdministrationServer {
	const {settings, configurationStore, membership, serviceProxy, platform, follower, log} = parts;
	return createAdministrationServer({
		operators: settings.operators,
		configuration: {
			...configurationStore,
			async propose(document, proposal) {
				const accepted = await configurationStore.propose(document, proposal);
				// The daemon that accepted a version is the first to announce it.
				await follower.refresh();
				return accepted;
			},
		},
		inForce: version => summariseConfirmations({
			version, daemons: membership.confirmations(), silentLimitMs: silenceBoundMs(settings.isolationLimitMs),
		}),
		status: () => describeStatus(parts),
		unknownOrders: serviceProxy,
		extend(app) {
			addTraceRoute(app, parts);
		},
		burnReport: {
			async create() {
				const {version, document} = follower.current() ?? {version: 0, document: emptyDocument};
				return createBurnReport({
					objects: platform.objects, document, version, log,
				});
			},
			async renderHtml(report) {
				// Imported on use: the plotting library is large, and few daemons ever render a page.
				const {renderBurnPage} = await import('@hickorywalk/traces/burn.js');
				return renderBurnPage(report);
			},
		},
		log,
	});
}

const emptyDocument = {
	layout: 1, dataCentres: [], workspaces: [], services: [], endpoints: [],
};

function stateOf(report: EngineReport | undefined): string {
	if (report === undefined) {
		return 'unknown';
	}

	return report.ready ? 'ready' : 'loading';
}

const msPerSecond = 1000;
/** Largest age that the status reports; it also stands for a version that was never known, whose age is not a finite number. */
const maxVersionAgeSeconds = 1e9;

function describeStatus(parts: Parts): FleetStatus {
	const {settings, state, follower, membership, endpointWatch} = parts;
	return {
		daemon: settings.name,
		dataCentre: settings.dataCentre,
		ready: state.ready,
		version: follower.current()?.version ?? 0,
		versionAgeSeconds: Math.min(maxVersionAgeSeconds, follower.freshnessAgeMs() / msPerSecond),
		vms: membership.members().map(({name, dataCentre, status, configurationVersion, silentMs}) => ({
			name, dataCentre, state: status, version: configurationVersion, silentSeconds: Number.isFinite(silentMs) ? silentMs / msPerSecond : null,
		})),
		endpoints: (follower.current()?.document.endpoints ?? []).map(({name, service, dataCentre, vm}) => {
			const report = endpointWatch.lastReport(name);
			return {
				name,
				service,
				dataCentre,
				state: membership.isLeaving(vm) ? 'leaving' : stateOf(report),
				version: report?.version ?? '',
				running: report?.running ?? 0,
				waiting: report?.waiting ?? 0,
			};
		}),
		leases: [],
		limits: [],
	};
}
