/**
 * Asks engines how they are, a few at a time. Load comes with every answer;
 * this covers endpoints that had no request of late, so that a new process, a
 * new version or a full queue is known before a caller meets it.
 */
import {type Endpoint} from '../configuration/document.js';
import {type EngineLoad} from '../serving/ports.js';
import {type ReadyVersions} from './version-choice.js';

/** What a probe found. */
export type EngineReport = EngineLoad & {
	/** Whether it takes requests now; false while it loads weights. */
	ready: boolean;
};

/** Options of {@link createEndpointWatch}. */
export type EndpointWatchOptions = {
	/** Endpoints of model services now. */
	endpoints: () => readonly Endpoint[];
	/** Asks one engine; rejects when it gives no answer. */
	probe: (address: string) => Promise<EngineReport>;
	/** Milliseconds in which every endpoint is asked once, as long as the bound below allows. */
	roundMs: number;
	/** Most probes a second. */
	mostPerSecond: number;
	onReport: (endpoint: string, report: EngineReport) => void;
	/** The probe failed; the endpoint may be down. */
	onSilence: (endpoint: string) => void;
};

/** Watches endpoints. */
export type EndpointWatch = {
	/** Ready replicas of a service by version, as last seen. */
	versionsOf: (service: string) => ReadyVersions;
	/**
	 * False only for an endpoint that said of late that it takes no requests. A
	 * probe without an answer is no such word: in a large fleet the next one
	 * comes much later, and failed requests tell more (see routing/health.ts).
	 */
	isReady: (endpoint: string) => boolean;
	/** What an endpoint said last; `undefined` when its last probe failed. */
	lastReport: (endpoint: string) => EngineReport | undefined;
	/** Probes every endpoint once, for a daemon that starts. */
	sweep: () => Promise<void>;
	start: () => void;
	stop: () => void;
};

const tickMs = 100;
/** Milliseconds after which what an endpoint said no longer keeps it out. */
const reportLifeMs = 5000;
const msPerSecond = 1000;

type Seen = {service: string; version: string; ready: boolean; report: EngineReport | undefined; at: number};

/** Creates a watch that has seen nothing yet. */
export function createEndpointWatch(options: EndpointWatchOptions): EndpointWatch {
	const seen = new Map<string, Seen>();
	let counts = new Map<string, Map<string, number>>();
	let timer: NodeJS.Timeout | undefined;
	let next = 0;
	let owed = 0;

	const note = (endpoint: Endpoint, report: EngineReport | undefined) => {
		const before = seen.get(endpoint.name);
		const now: Seen = {
			service: endpoint.service, version: report?.version ?? before?.version ?? '', ready: report?.ready ?? false, report, at: performance.now(),
		};
		seen.set(endpoint.name, now);
		if (before?.version === now.version && before.ready === now.ready && before.service === now.service) {
			return;
		}

		count();
	};

	/** Only endpoints that are configured still count. */
	const count = () => {
		counts = new Map();
		for (const {name} of options.endpoints()) {
			const known = seen.get(name);
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
			note(endpoint, report);
			options.onReport(endpoint.name, report);
		} catch {
			note(endpoint, undefined);
			options.onSilence(endpoint.name);
		}
	};

	const tick = () => {
		const endpoints = options.endpoints();
		const perSecond = Math.min(options.mostPerSecond, endpoints.length * (msPerSecond / options.roundMs));
		owed += perSecond * (tickMs / msPerSecond);
		for (; owed >= 1 && endpoints.length > 0; owed--) {
			next = (next + 1) % endpoints.length;
			void probeOne(endpoints[next]);
		}

		if (seen.size > 2 * endpoints.length) {
			forgetOthers(endpoints);
		}
	};

	const forgetOthers = (endpoints: readonly Endpoint[]) => {
		const names = new Set(endpoints.map(endpoint => endpoint.name));
		for (const name of seen.keys()) {
			if (!names.has(name)) {
				seen.delete(name);
			}
		}
	};

	return {
		versionsOf: service => counts.get(service) ?? new Map<string, number>(),
		isReady(endpoint) {
			const known = seen.get(endpoint);
			const isRecent = known !== undefined && performance.now() - known.at < reportLifeMs;
			return !isRecent || known.report?.ready !== false;
		},
		lastReport: endpoint => seen.get(endpoint)?.report,
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
