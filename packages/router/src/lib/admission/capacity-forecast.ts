/** Forecasts when an endpoint takes a request that none can take now. */
import {type EndpointPresence} from '../fleet/endpoint-presence.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type EndpointPaths} from '../paths/endpoint-paths.js';
import {type BrittleEndpoints} from '../placing/brittle-endpoints.js';
import {type ChoiceRequest} from '../placing/choice-request.js';
import {type EndpointBackoff} from '../placing/endpoint-backoff.js';
import {type EndpointLimits} from '../placing/endpoint-limits.js';
import {type EndpointLoadTracker} from '../placing/endpoint-load-tracker.js';
import {type UnprovenVersions} from '../releases/unproven-versions.js';
import {type HealthTracker} from '../routing/health.js';
import {type EngineVersions} from '../weights/engine-versions.js';
import {type WeightsDeadlines} from '../weights/weights-deadlines.js';
import {type ServiceTurnover} from './service-turnover.js';

/** Options of {@link createCapacityForecast}. */
export type CapacityForecastOptions = {
	view: Pick<FleetView, 'endpointsOf'>;
	loadTracker: Pick<EndpointLoadTracker, 'load' | 'ownRunning' | 'baseMs' | 'msPerToken'>;
	health: Pick<HealthTracker, 'roomOf'>;
	presence: Pick<EndpointPresence, 'hasEnded'>;
	versions: Pick<EngineVersions, 'of'>;
	weightsDeadlines: Pick<WeightsDeadlines, 'maySend'>;
	limits: Pick<EndpointLimits, 'ownWaitMs'>;
	backoff: Pick<EndpointBackoff, 'leftMs'>;
	brittle: Pick<BrittleEndpoints, 'hasRoom' | 'isBrittle' | 'waitMs'>;
	paths: Pick<EndpointPaths, 'isUnreachable'>;
	releases: Pick<UnprovenVersions, 'endpointsOf'>;
	turnover: Pick<ServiceTurnover, 'endsPerMs'>;
};

/** When an endpoint is expected to take a request. */
export type ExpectedCapacity = {
	/** Milliseconds until an endpoint takes the first waiting request. */
	ms: number;
	/** Milliseconds until a pause or rate limit ends, of which no event tells; infinite if none is known. */
	timedMs: number;
	/** Waiting requests that are taken per millisecond from then on. */
	perMs: number;
	/** Shortest time to the first event at an endpoint. */
	serviceMs: number;
};

/** Returns `undefined` if no endpoint is expected to take the request. */
export type CapacityForecast = (request: ChoiceRequest) => ExpectedCapacity | undefined;

/** When one endpoint takes a request, and whether this passes without an event. */
type EndpointForecast = {ms: number; isTimed: boolean; perMs: number};

/** Time for which an engine that changes its weights takes no requests: loading takes 0.4 to 1.1 s, longer while many engines load. */
const weightsChangeMs = 1500;

const event = (ms: number): EndpointForecast => ({ms, isTimed: false, perMs: 0});
const timer = (ms: number, perMs = 0): EndpointForecast => ({ms, isTimed: true, perMs});

/** Creates a forecast. */
export function createCapacityForecast(options: CapacityForecastOptions): CapacityForecast {
	const {
		view, loadTracker, health, presence, versions, weightsDeadlines, limits, backoff, brittle, paths, releases, turnover,
	} = options;

	/** Milliseconds until a request at the endpoint ends; own requests are known better than those of peers. */
	const nextEndMs = (endpoint: LiveEndpoint): number => {
		const endsPerMs = turnover.endsPerMs(endpoint.service);
		if (loadTracker.ownRunning(endpoint.id) > 0 && endsPerMs > 0) {
			return 1 / endsPerMs;
		}

		const {running, remainingMs} = loadTracker.load(endpoint);
		return running === 0 ? 0 : Math.max(0, remainingMs) / running;
	};

	const weightsForecast = (endpoint: LiveEndpoint, {prompt}: ChoiceRequest): EndpointForecast | undefined => {
		if (prompt === undefined) {
			return event(nextEndMs(endpoint));
		}

		const {version, isChanging} = versions.of(endpoint, prompt.model);
		if (isChanging) {
			return event(weightsChangeMs);
		}

		// Weights that are too old stay so until the engine is ordered to change them.
		return weightsDeadlines.maySend({model: prompt.model, weights: version}, 0) ? event(nextEndMs(endpoint)) : undefined;
	};

	const forecastOf = (endpoint: LiveEndpoint, request: ChoiceRequest): EndpointForecast | undefined => {
		if (endpoint.isLeaving || request.excluded.has(endpoint.id) || presence.hasEnded(endpoint) || paths.isUnreachable(endpoint) || health.roomOf(endpoint.id) === 0) {
			return undefined;
		}

		const pauseMs = backoff.leftMs(endpoint);
		if (pauseMs > 0) {
			return timer(pauseMs);
		}

		const {ms: limitMs, perMs} = limits.ownWaitMs(endpoint);
		if (limitMs > 0) {
			return Number.isFinite(limitMs) ? timer(limitMs, perMs) : undefined;
		}

		return brittle.hasRoom(endpoint) ? weightsForecast(endpoint, request) : timer(brittle.waitMs([endpoint]) ?? nextEndMs(endpoint));
	};

	/** The part of a prompt that no engine can have cached, at this engine's speed. */
	const serviceMsAt = ({id}: LiveEndpoint, {prompt}: ChoiceRequest): number =>
		prompt === undefined ? 0 : loadTracker.baseMs(id) + ((prompt.parts.at(-1)?.tokens ?? 0) * loadTracker.msPerToken(id));

	return request => {
		const {service, software} = request;
		const endpoints = software === undefined ? releases.endpointsOf(service) : view.endpointsOf(service).filter(endpoint => endpoint.software === software);
		const expected: ExpectedCapacity = {
			ms: Number.POSITIVE_INFINITY, timedMs: Number.POSITIVE_INFINITY, perMs: turnover.endsPerMs(service), serviceMs: Number.POSITIVE_INFINITY,
		};
		for (const endpoint of endpoints) {
			const forecast = forecastOf(endpoint, request);
			if (forecast !== undefined) {
				expected.ms = Math.min(expected.ms, forecast.ms);
				expected.timedMs = forecast.isTimed ? Math.min(expected.timedMs, forecast.ms) : expected.timedMs;
				expected.perMs += forecast.perMs;
				expected.serviceMs = Math.min(expected.serviceMs, serviceMsAt(endpoint, request));
			}
		}

		return Number.isFinite(expected.ms) ? expected : undefined;
	};
}
