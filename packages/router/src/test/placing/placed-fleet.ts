/** Daemons that place requests on a small model of endpoints, on a fake clock. */
import type FakeTimers from '@sinonjs/fake-timers';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	createEndpointPresence, createFleetView, type FleetDocument, type FleetView, type LiveEndpoint,
} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {
	type Choice, type ChoiceRequest, createEndpointBackoff, createEndpointChoice, createEndpointLoadTracker, createResidentParts, createStoredParts,
	type EndpointChoice, type EndpointLoadTracker, firstMsAtUsualPace, type ResidentParts, type StoredParts,
} from '../../placing.js';
import {createUnprovenVersions} from '../../releases.js';
import {createHealthTracker} from '../../routing.js';
import {createEngineVersions, createWeightsDeadlines} from '../../weights.js';
import {reportOf} from '../peers/empty-report.js';
import {createLoneBrittle, createLoneLimits} from './lone-limits.js';
import {createWorkingPaths} from './working-paths.js';

/** An endpoint of the model. */
export type ModelEndpoint = {
	id: string;
	dataCentre: string;
	slots: number;
	/** Duration of work at this moment, relative to the usual. */
	pace: number;
};

/** Options of {@link createPlacedFleet}. */
export type PlacedFleetOptions = {
	clock: FakeTimers.Clock;
	seed: number;
	/** Data centre of each daemon. */
	daemons: readonly string[];
	endpoints: ModelEndpoint[];
	document: FleetDocument;
	service: string;
	/** Milliseconds between two reports of a daemon to all others. */
	reportEveryMs: number;
	/** Whether endpoints state their pace. */
	statesPace: boolean;
	/** Prompt tokens that an engine computes per millisecond, one prompt after the other. */
	tokensPerMs: (id: string) => number;
};

/** A request of the model. */
export type ModelRequest = Omit<ChoiceRequest, 'service' | 'excluded'> & {
	daemon: number;
	/** Milliseconds that the request takes at the usual pace, beside the time to compute its prompt. */
	workMs: number;
};

/** How a request ended. */
export type Served = {
	choice: Choice;
	firstMs: number;
	/** It stayed in its data centre. */
	isLocal: boolean;
	/** Pace of the endpoint when the request was sent. */
	paceAtSend: number;
	/** Prompt tokens that the engine computed. */
	computedTokens: number;
	/** Data centres of the engine, and of the engine that it fetched shared parts from, differ. */
	fetchesFromAfar: boolean;
};

export type PlacedFleet = {
	/** Sends a request; `ended` is called at its end, or at once with `undefined` if no endpoint can take it. */
	send: (request: ModelRequest, ended: (served: Served | undefined) => void) => void;
	random: () => number;
	/** Stops the reports. */
	stop: () => void;
};

type ModelDaemon = {name: string; dataCentre: string; choice: EndpointChoice; loadTracker: EndpointLoadTracker; residentParts: ResidentParts; storedParts: StoredParts};

/** Milliseconds from a request to its answer that lie between two data centres. */
const crossDataCentreMs = 2.8;

/** Milliseconds in which an engine fetches shared parts from another one's memory. */
const fetchMs = 3;

/** Peers that one round of reports reaches; daemons wire the sampler with the number of those beyond it. */
const peersPerRound = 16;

/** Milliseconds that a datagram takes. */
const datagramMs = 2;

/** Creates a fleet whose daemons know all endpoints and report to each other. */
export function createPlacedFleet(options: PlacedFleetOptions): PlacedFleet {
	const {clock, endpoints, document, service, daemons: dataCentres} = options;
	const generator = xoroshiro128plus(options.seed);
	const random = (): number => uniformFloat64(generator);
	const models = new Map(endpoints.map(endpoint => [endpoint.id, {
		endpoint, running: 0, waiting: [] as Array<() => void>, busyUntil: 0,
	}]));

	/** What the engines hold. Its model of the least recently used parts is the daemons' own, but it knows of each prompt at once. */
	const held = createResidentParts({memoryTokens: id => document.services.get(service)?.engine && models.has(id) ? document.services.get(service)!.engine!.memoryTokens : undefined});

	const createView = (): FleetView => {
		const view = createFleetView(createSilentLog());
		view.acceptDocument(document);
		for (const {id, dataCentre, slots} of endpoints) {
			const endpoint: LiveEndpoint = {
				id, service, address: `${id}:80`, dataCentre, slots, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map([['m', 1]]),
			};
			view.acceptEndpoint(endpoint);
		}

		return view;
	};

	const daemons: ModelDaemon[] = dataCentres.map((dataCentre, index) => {
		const view = createView();
		const loadTracker = createEndpointLoadTracker({refreshMs: () => options.reportEveryMs});
		const residentParts = createResidentParts({memoryTokens: view.memoryTokens});
		const storedParts = createStoredParts();
		const choice = createEndpointChoice({
			view, loadTracker, health: createHealthTracker(), presence: createEndpointPresence(createSilentLog()), versions: createEngineVersions(),
			weightsDeadlines: createWeightsDeadlines({view, weightsMs: 8000}), limits: createLoneLimits(),
			backoff: createEndpointBackoff({random: () => 0.5, log: createSilentLog()}), brittle: createLoneBrittle(), paths: createWorkingPaths(),
			releases: createUnprovenVersions({view, log: createSilentLog()}), storedParts, residentParts,
			dataCentre, connectionShare: () => 1, daemons: () => 1 + Math.max(0, dataCentres.length - 1 - peersPerRound), random,
		});
		return {
			name: `vm-${index}`, dataCentre, choice, loadTracker, residentParts, storedParts,
		};
	});

	const reportFrom = (sender: ModelDaemon): void => {
		const report = reportOf(sender.name, {
			loads: sender.loadTracker.report(), paces: sender.loadTracker.reportPaces(), placed: sender.residentParts.takeUnreported(), kept: sender.storedParts.takeUnreported(),
		});
		clock.setTimeout(() => {
			for (const daemon of daemons) {
				if (daemon !== sender) {
					daemon.loadTracker.applyPeerReport(report);
					daemon.residentParts.applyPeerReport(report.placed);
					daemon.storedParts.applyPeerReport(report.kept);
				}
			}
		}, datagramMs);
	};

	const timers = daemons.map(daemon => {
		let timer: FakeTimers.TimerId;
		const next = (): void => {
			reportFrom(daemon);
			timer = clock.setTimeout(next, options.reportEveryMs);
		};

		timer = clock.setTimeout(next, random() * options.reportEveryMs);
		return () => {
			clock.clearTimeout(timer);
		};
	});

	const send: PlacedFleet['send'] = ({daemon: index, workMs, ...request}, ended) => {
		const daemon = daemons[index];
		const choice = daemon.choice.choose({service, excluded: new Set(), ...request});
		if (choice === undefined) {
			ended(undefined);
			return;
		}

		const {id} = choice.endpoint;
		const model = models.get(id)!;
		const {prompt} = request;
		const sentAt = performance.now();
		const paceAtSend = model.endpoint.pace;
		const work = daemon.loadTracker.start(id, {
			missingTokens: choice.missingTokens, memoryTokens: prompt === undefined ? 0 : prompt.promptTokens + prompt.outputTokens, outputTokens: prompt?.outputTokens ?? 0,
		});
		if (prompt !== undefined) {
			daemon.choice.placed(choice, prompt);
		}

		const isLocal = choice.endpoint.dataCentre === daemon.dataCentre;
		const distanceMs = isLocal ? 0 : crossDataCentreMs;
		let computedTokens = 0;
		let fetchesFromAfar = false;
		let fetchedTokens = 0;
		if (prompt !== undefined) {
			const weights = 1;
			const ownTokens = held.tokens({id, weights}, prompt);
			const source = endpoints.find(endpoint => `${endpoint.id}:80` === choice.fetchFrom);
			fetchedTokens = source === undefined ? 0 : Math.max(0, held.tokens({id: source.id, weights}, prompt) - ownTokens);
			fetchesFromAfar = fetchedTokens > 0 && source!.dataCentre !== model.endpoint.dataCentre;
			computedTokens = prompt.promptTokens - ownTokens - fetchedTokens;
			held.sent({id, weights}, prompt);
		}

		const end = (): void => {
			model.running--;
			model.waiting.shift()?.();
			work.ended(true);
			daemon.loadTracker.recordReportedLoad(id, {running: model.running, waiting: model.waiting.length, slots: model.endpoint.slots});
		};

		const first = (): void => {
			const firstMs = performance.now() - sentAt + distanceMs;
			const statedPace = options.statesPace ? model.endpoint.pace : undefined;
			if (statedPace !== undefined) {
				daemon.loadTracker.recordPace(id, statedPace);
			}

			work.begun();
			if (prompt !== undefined) {
				daemon.loadTracker.updateEstimates(id, firstMsAtUsualPace(firstMs, choice.paceRatio, statedPace), choice.missingTokens, choice.pendingTokens);
			}

			const served: Served = {
				choice, firstMs, isLocal, paceAtSend, computedTokens, fetchesFromAfar,
			};
			if (prompt === undefined) {
				end();
				ended(served);
				return;
			}

			clock.setTimeout(() => {
				end();
				ended(served);
			}, prompt.outputTokens * 5 * model.endpoint.pace);
		};

		const begin = (): void => {
			model.running++;
			const computeMs = computedTokens / options.tokensPerMs(id) * model.endpoint.pace;
			const startAt = Math.max(performance.now(), model.busyUntil);
			model.busyUntil = startAt + computeMs;
			clock.setTimeout(first, startAt + computeMs + ((workMs + (fetchedTokens > 0 ? fetchMs : 0)) * model.endpoint.pace) - performance.now());
		};

		if (model.running < model.endpoint.slots) {
			begin();
		} else {
			model.waiting.push(begin);
		}
	};

	return {
		send,
		random,
		stop() {
			for (const stop of timers) {
				stop();
			}
		},
	};
}
