/** Wires the parts that deal with endpoints: placement, load probes, plain services, queues. */
import {type DocumentIndex, type Endpoint} from 'hickorywalk/configuration.js';
import {
	createEndpointPicker, createEndpointWatch, type EndpointPicker, type EndpointWatch,
} from 'hickorywalk/endpoints.js';
import {createFairQueue, type FairQueue} from 'hickorywalk/fairness.js';
import {type RetryBudget} from 'hickorywalk/gateway.js';
import {createServiceProxy, type ServiceProxy} from 'hickorywalk/orders.js';
import {
	createPlacer, createRetryBudget, type LearningPlacer, type PlacementEndpoint,
} from 'hickorywalk/routing.js';
import {type Parts} from './parts.js';

export function wirePlacer({configuration}: Parts): LearningPlacer {
	return createPlacer({
		random: Math.random,
		pieceTokensOf(name) {
			const service = configuration()?.service(name);
			return service?.kind === 'model' ? service.pieceTokens : 1;
		},
	});
}

/**
 * An endpoint gets no new requests once its VM is leaving, or while it loads
 * weights. The placer is updated only when the configuration, or this state of
 * some endpoint, has changed.
 */
export function wireRefreshEndpoints({configuration, membership, endpointWatch, placer}: Parts): Parts['refreshEndpoints'] {
	let previousIndex: DocumentIndex | undefined;
	let previousFlags = '';
	return () => {
		const index = configuration();
		if (index === undefined) {
			return;
		}

		let flags = '';
		const endpoints: PlacementEndpoint[] = [];
		for (const {name, service, dataCentre, vm} of index.accepted.document.endpoints) {
			const usable = !membership.isLeaving(vm) && endpointWatch.isReady(name);
			flags += usable ? '1' : '0';
			endpoints.push({
				name, service, dataCentre, usable,
			});
		}

		if (index !== previousIndex || flags !== previousFlags) {
			previousIndex = index;
			previousFlags = flags;
			placer.setEndpoints(endpoints);
		}
	};
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

export function wireEndpointWatch(parts: Parts): EndpointWatch {
	const {settings, configuration, engineProbe, placer, log} = parts;
	return createEndpointWatch({
		endpoints: () => modelEndpoints(configuration()),
		probe: engineProbe.probe,
		roundMs: settings.engines.probeMs,
		mostPerSecond: settings.engines.mostProbesPerSecond,
		onReport(endpoint, report) {
			placer.observe(endpoint, report);
		},
		onProbeFailure(endpoint) {
			log.debug('Endpoint did not answer a load probe.', {endpoint});
		},
	});
}

export function wirePicker({configuration, membership}: Parts): EndpointPicker {
	return createEndpointPicker({
		endpointsOf: service => (configuration()?.endpointsOf(service) ?? []).filter(endpoint => !membership.isLeaving(endpoint.vm)),
		random: Math.random,
	});
}

export function wireServiceProxy({platform, picker, configuration, metrics, log}: Parts): ServiceProxy {
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
			log.warn('Endpoint failed a call.', {endpoint: endpoint.name, reason: failure});
		},
	});
}

/**
 * Limits each service's requests in flight to this daemon's even part of its
 * slots, times `inFlightSlack`, since callers are not spread evenly over daemons.
 * Further requests would wait in the engines' own queues, where the fair queue
 * can't order them.
 */
export function wireQueues({settings, configuration, membership}: Parts): Parts['queueOf'] {
	const queues = new Map<string, FairQueue>();
	const limitOf = (service: string) => {
		const slots = (configuration()?.endpointsOf(service).length ?? 0) * settings.engines.slotsPerEndpoint;
		const {heard} = membership.reach();
		return Math.max(1, Math.ceil((slots * settings.queue.inFlightSlack) / Math.max(1, heard)));
	};

	return service => {
		let queue = queues.get(service);
		if (queue === undefined) {
			queue = createFairQueue({limit: () => limitOf(service), ...settings.queue});
			queues.set(service, queue);
		}

		return queue;
	};
}
