/**
 * Probes engines, a few at a time. Every response to a request reports the load;
 * probes cover endpoints without recent requests, so that a new process, a new
 * version or a full queue is known before a request is sent there.
 */
import {type Endpoint} from '../configuration/document.js';
import {type EngineLoad} from '../serving/ports.js';
import {type ReadyVersions} from './version-choice.js';

/** Result of a probe. */
export type EngineReport = EngineLoad & {
	/** Whether the engine accepts requests; false while it loads weights. */
	ready: boolean;
};

/** Options of {@link createEndpointWatch}. */
export type EndpointWatchOptions = {
	/** Current endpoints of model services. */
	endpoints: () => readonly Endpoint[];
	/** Probes one engine; rejects if it does not respond. */
	probe: (address: string) => Promise<EngineReport>;
	/** Milliseconds in which every endpoint is probed once, unless `mostPerSecond` limits it. */
	roundMs: number;
	/** Maximum number of probes per second. */
	mostPerSecond: number;
	onReport: (endpoint: string, report: EngineReport) => void;
	/** Called when a probe failed; the endpoint may be down. */
	onProbeFailure: (endpoint: string) => void;
};

/** Probes endpoints and keeps the results. */
export type EndpointWatch = {
	/** Returns the number of ready replicas of a service by version, from the last probes. */
	versionsOf: (service: string) => ReadyVersions;
	/**
	 * Returns `false` only for an endpoint that recently reported that it accepts
	 * no requests. A failed probe does not count: in a large fleet the next one
	 * comes much later, and failed requests tell more (see routing/health.ts).
	 */
	isReady: (endpoint: string) => boolean;
	/** Returns the last report of an endpoint, or `undefined` if its last probe failed. */
	lastReport: (endpoint: string) => EngineReport | undefined;
	/** Probes up to `mostPerSecond` endpoints once, for a daemon that starts. */
	sweep: () => Promise<void>;
	start: () => void;
	stop: () => void;
};

const tickMs = 100;
/** Milliseconds after which a report of "not ready" no longer counts. */
const reportMaxAgeMs = 5000;
const msPerSecond = 1000;

type LastProbe = {service: string; version: string; ready: boolean; report: EngineReport | undefined; at: number};

/** Creates a watch without probe results. */
export function createEndpointWatch(options: EndpointWatchOptions): EndpointWatch {
	const lastProbes = new Map<string, LastProbe>();
	let counts = new Map<string, Map<string, number>>();
	let timer: NodeJS.Timeout | undefined;
	let nextIndex = 0;
	let dueProbes = 0;

	const saveProbe = (endpoint: Endpoint, report: EngineReport | undefined) => {
		const before = lastProbes.get(endpoint.name);
		const now: LastProbe = {
			service: endpoint.service, version: report?.version ?? before?.version ?? '', ready: report?.ready ?? false, report, at: performance.now(),
		};
		lastProbes.set(endpoint.name, now);
		if (before?.version === now.version && before.ready === now.ready && before.service === now.service) {
			return;
		}

		countReady();
	};

	/** Counts ready replicas, only of endpoints that are still configured. */
	const countReady = () => {
		counts = new Map();
		for (const {name} of options.endpoints()) {
			const known = lastProbes.get(name);
			if (known?.ready !== true) {
				continue;
			}

			const versions = counts.get(known.service) ?? new Map<string, number>();
			versions.set(known.version, (versions.get(known.version) ?? 0) + 1);
			counts.set(known.service, versions);
		}
	};

	const probeOne = async (endpoint: Endpoint) => {
		try {
			const report = await options.probe(endpoint.address);
			saveProbe(endpoint, report);
			options.onReport(endpoint.name, report);
		} catch {
			saveProbe(endpoint, undefined);
			options.onProbeFailure(endpoint.name);
		}
	};

	const tick = () => {
		const endpoints = options.endpoints();
		const perSecond = Math.min(options.mostPerSecond, endpoints.length * (msPerSecond / options.roundMs));
		dueProbes += perSecond * (tickMs / msPerSecond);
		for (; dueProbes >= 1 && endpoints.length > 0; dueProbes--) {
			nextIndex = (nextIndex + 1) % endpoints.length;
			void probeOne(endpoints[nextIndex]);
		}

		if (lastProbes.size > 2 * endpoints.length) {
			removeUnconfigured(endpoints);
		}
	};

	const removeUnconfigured = (endpoints: readonly Endpoint[]) => {
		const names = new Set(endpoints.map(endpoint => endpoint.name));
		for (const name of lastProbes.keys()) {
			if (!names.has(name)) {
				lastProbes.delete(name);
			}
		}
	};

	return {
		versionsOf: service => counts.get(service) ?? new Map<string, number>(),
		isReady(endpoint) {
			const known = lastProbes.get(endpoint);
			const isRecent = known !== undefined && performance.now() - known.at < reportMaxAgeMs;
			return !isRecent || known.report?.ready !== false;
		},
		lastReport: endpoint => lastProbes.get(endpoint)?.report,
		async sweep() {
			await Promise.all(options.endpoints().slice(0, options.mostPerSecond).map(async endpoint => probeOne(endpoint)));
		},
		start() {
			timer ??= setInterval(tick, tickMs);
		},
		stop() {
			clearInterval(timer);
			timer = undefined;
		},
	};
}
