/** Registers the parts of the entry daemon; each is made when it is first asked for. */
import {
	type BootSettings, createCallHeaders, createEndpointControl, createEndpointSource, createOperatorSource, createStoreClient, type OperatorRow,
} from '@hickorywalk/platform';
import {
	asFunction, asValue, type AwilixContainer, createContainer, InjectionMode,
} from 'awilix';
import {
	type ChangeFeed, createEndpointPresence, createEndpointTracker, createFleetView, type EndpointPresence, followChanges, type FleetView, type LiveEndpoint,
} from 'hickorywalk/fleet.js';
import {createEntryServer, createForwarder, type ForwardingEvents} from 'hickorywalk/forwarding.js';
import {createLeaseHolder, type LeaseHolder} from 'hickorywalk/leases.js';
import {
	createLineBudget, createLog, type LineBudget, type Log,
} from 'hickorywalk/observability.js';
import {createUndiciTransport} from 'hickorywalk/orders.js';
import {
	createPeerDirectory, createPeerExchange, type PeerExchange, type PeerReport,
} from 'hickorywalk/peers.js';
import {
	createEndpointBook, createEndpointChoice, createKeptParts, type EndpointBook, type KeptParts,
} from 'hickorywalk/placing.js';
import {createFleetQuota, type FleetQuota} from 'hickorywalk/quotas.js';
import {type AttemptBudget, createHealthTracker, createRetryBudget} from 'hickorywalk/routing.js';
import {createEngineVersions, createWeightsKeeper, type EngineVersions} from 'hickorywalk/weights.js';
import {createDaemonMetrics, type DaemonMetrics} from './daemon-metrics.js';
import {type Timings, timingsFor} from './timings.js';

/** Name of the duty to give orders to engines. */
export const weightsDuty = 'weights';

/** Part of what the platform allows that this project uses of the retry budget. */
const budgetUsed = 0.7;

/** Milliseconds for a connection to an endpoint; data centres are a millisecond apart. */
const endpointConnectMs = 300;

/** Part of the units that a workspace may be over its quota which a restarted fleet starts with. */
const quotaExtraAtStart = 0.5;

/**
 * Log lines a second. One line costs some 30 µs of processor time, so these
 * bound it to about one hundredth of a core; a daemon has some 15 requests a
 * second on a usual day.
 */
const linesPerSecond = {answered: 100, other: 60};

/** Connections to one endpoint that one daemon opens at most; the choice of endpoints keeps far below. */
const connectionsPerEndpoint = 512;

/** Part of the connections that endpoints accept which all daemons together use; the rest is for those that come and go. */
const connectionsUsed = 0.9;

/** What changes while the daemon runs. */
export type DaemonState = {
	/** Unready: the balancer takes this process out, and its answers end their connections. */
	isStopping: boolean;
	/** No further request is taken. */
	isClosed: boolean;
};

/** All parts, by name. */
export type EntryParts = {
	settings: BootSettings;
	timings: Timings;
	state: DaemonState;
	incarnation: number;
	log: Log;
	view: FleetView;
	versions: EngineVersions;
	book: EndpointBook;
	presence: EndpointPresence;
	kept: KeptParts;
	health: ReturnType<typeof createHealthTracker>;
	quota: FleetQuota;
	choice: ReturnType<typeof createEndpointChoice>;
	store: ReturnType<typeof createStoreClient>;
	ownTable: ReturnType<ReturnType<typeof createStoreClient>['table']>;
	operatorFeed: ChangeFeed;
	endpointFeed: ChangeFeed;
	peers: PeerExchange;
	directory: ReturnType<typeof createPeerDirectory>;
	leases: LeaseHolder;
	control: ReturnType<typeof createEndpointControl>;
	keeper: ReturnType<typeof createWeightsKeeper>;
	transport: ReturnType<typeof createUndiciTransport>;
	budgetOf: (service: string) => AttemptBudget;
	events: ForwardingEvents;
	metrics: DaemonMetrics;
	lines: LineBudget;
	forwarder: ReturnType<typeof createForwarder>;
	server: ReturnType<typeof createEntryServer>;
};

/** Creates the container of one daemon. */
export function createEntryParts(settings: BootSettings): AwilixContainer<EntryParts> {
	const container = createContainer<EntryParts>({injectionMode: InjectionMode.PROXY, strict: true});
	container.register({
		settings: asValue(settings),
		timings: asValue(timingsFor(settings)),
		state: asValue({isStopping: false, isClosed: false}),
		incarnation: asValue(Date.now()),
		log: asValue(createLog('entry', {vm: settings.name, dataCentre: settings.dataCentre})),
		view: asFunction(({log}: EntryParts) => createFleetView(log)).singleton(),
		versions: asFunction(() => createEngineVersions()).singleton(),
		book: asFunction((parts: EntryParts) => createEndpointBook({
			onLarge() {
				parts.peers.sendSoon();
			},
		})).singleton(),
		presence: asFunction(({log}: EntryParts) => createEndpointPresence(log)).singleton(),
		health: asFunction(() => createHealthTracker({
			consecutiveFailures: 2, ejectionMs: 1000, longestEjectionMs: 8000, returnMs: 3000,
		})).singleton(),
		kept: asFunction(() => createKeptParts()).singleton(),
		quota: asFunction(wireQuota).singleton(),
		choice: asFunction(wireChoice).singleton(),
		store: asFunction(({timings, metrics}: EntryParts) => createStoreClient({address: settings.storeAddress, callMs: timings.storeAnswerMs * 2, onCall: metrics.storeCalled})).singleton(),
		ownTable: asFunction(({store}: EntryParts) => store.table('hickorywalk')).singleton(),
		operatorFeed: asFunction(wireOperatorFeed).singleton(),
		endpointFeed: asFunction(wireEndpointFeed).singleton(),
		peers: asFunction(wirePeers).singleton(),
		directory: asFunction(wireDirectory).singleton(),
		leases: asFunction(wireLeases).singleton(),
		control: asFunction(({timings}: EntryParts) => createEndpointControl({callMs: timings.engineCallMs})).singleton(),
		keeper: asFunction(wireKeeper).singleton(),
		transport: asFunction(() => createUndiciTransport({connectMs: endpointConnectMs, connectionsPerPool: connectionsPerEndpoint})).singleton(),
		budgetOf: asFunction(wireBudgets).singleton(),
		events: asFunction(wireEvents).singleton(),
		metrics: asFunction(() => createDaemonMetrics()).singleton(),
		lines: asFunction(() => createLineBudget({perSecond: linesPerSecond})).singleton(),
		forwarder: asFunction((parts: EntryParts) => createForwarder({
			view: parts.view,
			headers: createCallHeaders(),
			quota: parts.quota,
			choice: parts.choice,
			book: parts.book,
			health: parts.health,
			presence: parts.presence,
			versions: parts.versions,
			transport: parts.transport,
			isClosed: () => parts.state.isClosed,
			budgetOf: parts.budgetOf,
			random: Math.random,
			events: parts.events,
		})).singleton(),
		server: asFunction(({forwarder, state, log}: EntryParts) => createEntryServer({forwarder, isStopping: () => state.isStopping, log})).singleton(),
	});
	return container;
}

/**
 * Peers tell each other what they have heard from the store, so one of them
 * with a working connection is enough; each may then wait longer for the store,
 * which saves calls.
 */
function feedWaitMs({feedWaitMs: alone, mostFeedWaits}: Timings, peers: PeerExchange): number {
	return alone * Math.min(mostFeedWaits, 1 + peers.live().length);
}

/** Daemons that are known, this one included. */
const countDaemons = (parts: EntryParts): number => parts.peers.known().size + 1;

function wireQuota(parts: EntryParts): FleetQuota {
	const {settings, timings} = parts;
	return createFleetQuota({
		startsFull: settings.isFirstStart,
		onUnreported() {
			parts.peers.sendSoon();
		},
		startUnits: settings.quota.extraUnits * quotaExtraAtStart,
		daemons: () => countDaemons(parts),
		silenceMs: timings.peerSilenceMs,
		goneMs: timings.peerGoneMs,
	});
}

function wireChoice({view, book, health, presence, versions, kept, peers, settings}: EntryParts) {
	return createEndpointChoice({
		view, book, health, presence, versions, kept, dataCentre: settings.dataCentre, connectionShare: () => connectionsUsed / (peers.live().length + 1), weightsMs: settings.weightsMs,
	});
}

function wireOperatorFeed({store, view, timings, peers, log}: EntryParts): ChangeFeed {
	const update = (rows: ReadonlyArray<{item: OperatorRow | undefined}>, unseenMs: number): void => {
		for (const {item} of rows) {
			if (item?.kind === 'document') {
				view.acceptDocument(item.document);
			} else if (item?.kind === 'weights') {
				view.acceptWeights(item.model, item.version, unseenMs);
			}
		}
	};

	return followChanges({
		name: 'operator', source: createOperatorSource(store, log), handler: {update, replace: update}, waitMs: () => feedWaitMs(timings, peers), answerMs: timings.storeAnswerMs, restMs: 0, log,
	});
}

function wireEndpointFeed({store, view, timings, peers, health, book, presence, versions, log}: EntryParts): ChangeFeed {
	const tracker = createEndpointTracker({view, graceMs: timings.lapsedGraceMs, outageEchoMs: timings.outageEchoMs});
	view.onEndpoint((id, endpoint) => {
		if (endpoint === undefined) {
			book.forget(id);
			presence.forget(id);
			versions.forget(id);
		}

		for (const service of view.current()?.document.services.keys() ?? []) {
			health.setEndpoints(service, view.endpointsOf(service).map(item => item.id));
		}
	});
	return followChanges<LiveEndpoint>({
		name: 'endpoints', source: createEndpointSource(store, log), handler: tracker, waitMs: () => feedWaitMs(timings, peers), answerMs: timings.storeAnswerMs, restMs: timings.endpointsRestMs, log,
	});
}

function wirePeers(parts: EntryParts): PeerExchange {
	const {settings, timings, incarnation, log, quota, book, versions} = parts;
	const onReport = (report: PeerReport): void => {
		if (report.isLeaving) {
			quota.left(report.daemon);
			book.leftPeer(report.daemon);
			return;
		}

		quota.heard(report);
		book.heard(report);
		parts.kept.heard(report.kept);
		for (const [id, startedAt] of report.ended) {
			const endpoint = parts.view.endpoint(id);
			if (endpoint?.startedAt === startedAt) {
				parts.presence.replaced(endpoint);
			}
		}

		for (const [model, version, ageMs] of report.named) {
			parts.view.datedWeights(model, version, ageMs);
		}

		for (const [id, version, changingTo, sinceOrderMs] of report.engines) {
			if (sinceOrderMs >= 0) {
				parts.keeper.heardOrder(id, sinceOrderMs);
			}

			versions.seen(id, version);
			if (changingTo > 0) {
				versions.changing(id, changingTo);
			}
		}

		parts.operatorFeed.hint(report.heard.operator ?? 0);
		parts.endpointFeed.hint(report.heard.endpoints ?? 0);
	};

	return createPeerExchange({
		name: settings.name,
		incarnation,
		bind: {host: settings.peerPorts.host, port: settings.peerPorts.first},
		everyMs: timings.reportEveryMs,
		silenceMs: timings.peerSilenceMs,
		compose: () => ({
			heard: {operator: parts.operatorFeed.newestChange(), endpoints: parts.endpointFeed.newestChange()},
			usage: quota.report(),
			loads: book.report(),
			named: parts.view.recentWeights(settings.weightsMs * 2),
			duty: dutyForReport(parts),
			engines: enginesForReport(parts),
			ended: parts.presence.endedLately(timings.peerSilenceMs),
			kept: parts.kept.takeNews(),
		}),
		onReport,
		log,
	});
}

/** What this daemon says of the lease on orders, so that a successor need not wait longer than it must. */
function dutyForReport({leases}: EntryParts): PeerReport['duty'] {
	const word = leases.word(weightsDuty);
	return word === undefined ? null : [word.attempt, Math.ceil(word.msLeft)];
}

/** Only the daemon that gives orders knows more of engines than the platform's list. */
function enginesForReport({leases, versions, view, keeper}: EntryParts): PeerReport['engines'] {
	if (leases.held(weightsDuty) === undefined) {
		return [];
	}

	const engines: PeerReport['engines'] = [];
	const changing = versions.allChanging();
	for (const id of view.endpointIds()) {
		const endpoint = view.endpoint(id);
		const [model] = endpoint?.weights.keys() ?? [];
		if (endpoint !== undefined && model !== undefined) {
			const sinceOrderMs = keeper.sinceOrderMs(id);
			engines.push([id, versions.of(endpoint, model).version, changing.get(id) ?? 0, Number.isFinite(sinceOrderMs) ? Math.round(sinceOrderMs) : -1]);
		}
	}

	return engines;
}

function wireDirectory({settings, timings, incarnation, ownTable, peers, log}: EntryParts) {
	return createPeerDirectory({
		name: settings.name,
		incarnation,
		address: `${settings.peerPorts.host}:${settings.peerPorts.first}`,
		table: ownTable,
		everyMs: timings.directoryEveryMs,
		onPeer: peers.learn,
		log,
	});
}

function wireLeases({settings, timings, incarnation, ownTable, peers, log}: EntryParts): LeaseHolder {
	const holder = createLeaseHolder({
		name: settings.name,
		incarnation: BigInt(incarnation),
		table: ownTable,
		candidates: () => [settings.name, ...peers.live().map(({report}) => report.daemon)],
		isHeldElsewhere: () => peers.live().some(({report}) => report.duty !== null && report.duty[1] > 0),
		lastWord(name, incarnation) {
			const heard = peers.known().get(name);
			return heard?.report.duty && BigInt(heard.report.incarnation) === incarnation
				? {attempt: heard.report.duty[0], heardAt: heard.heardAt, msLeft: heard.report.duty[1]}
				: undefined;
		},
		leaseMs: timings.leaseMs,
		marginMs: timings.leaseMarginMs,
		onError(err) {
			log.warn('Leases could not be read or written.', {err});
		},
	});
	holder.contend(weightsDuty);
	return holder;
}

function wireKeeper(parts: EntryParts) {
	const {settings, timings, view, versions, control, leases, book, presence, log} = parts;
	return createWeightsKeeper({
		name: settings.name,
		view,
		versions,
		control,
		held: () => leases.held(weightsDuty),
		handoverMs: timings.handoverMs,
		presence,
		announce: parts.peers.sendNow,
		weightsMs: settings.weightsMs,
		runningAt(id) {
			const endpoint = view.endpoint(id);
			return endpoint === undefined ? 0 : book.load(endpoint).running;
		},
		log,
	});
}

function wireBudgets(parts: EntryParts): (service: string) => AttemptBudget {
	const budgets = new Map<string, AttemptBudget>();
	const {isFirstStart, retries: {share, extra, windowMs}} = parts.settings;
	const openedAt = performance.now();

	/**
	 * This daemon's part of the fixed number. A process that was started again
	 * doesn't know what the one before it has spent, so its part grows from
	 * nothing over one window; else a fleet that is killed could spend it twice.
	 */
	const ownExtra = (): number => {
		const knownShare = isFirstStart ? 1 : Math.min(1, (performance.now() - openedAt) / windowMs);
		return Math.floor(extra * budgetUsed * knownShare / countDaemons(parts));
	};

	return service => {
		let budget = budgets.get(service);
		if (budget === undefined) {
			budget = createRetryBudget({
				share: share * budgetUsed, fewest: ownExtra, isFewestExtra: true, windowMs,
			});
			budgets.set(service, budget);
		}

		return budget;
	};
}

function wireEvents({log, metrics, lines}: EntryParts): ForwardingEvents {
	return {
		ended(end) {
			metrics.ended(end);
			if (!lines.take(end.reason)) {
				return;
			}

			const {requestId, workspace, service, endpoint, status, reason} = end;
			log.info('Request ended.', {
				requestId, workspace, service, endpoint, status, result: reason, attempt: end.attempts, path: end.route,
				ms: Math.round(end.ms), firstMs: rounded(end.firstMs), expectedMs: rounded(end.expectedMs),
				units: end.quota?.units, level: rounded(end.quota?.level), own: rounded(end.quota?.own),
			});
		},
		attemptFailed({requestId, endpoint, service, reason, ms, next}) {
			metrics.attemptFailed(service, reason);
			if (!lines.take(`attempt ${reason}`)) {
				return;
			}

			log.warn('Endpoint failed a request.', {
				requestId, endpoint, service, reason, ms: Math.round(ms), result: next,
			});
		},
	};
}

function rounded(value: number | undefined): number | undefined {
	return value === undefined ? undefined : Math.round(value);
}
