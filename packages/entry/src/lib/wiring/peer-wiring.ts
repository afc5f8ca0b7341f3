/** Wires the exchange of reports between daemons. */
import {type ChangeFeed} from 'hickorywalk/fleet.js';
import {
	createPeerDirectory, createPeerExchange, maxReportedLeaving, type OpenDatagramTransport, type PeerExchange, type PeerReport,
} from 'hickorywalk/peers.js';
import {dutyDelayMs, weightsLease} from './lease-wiring.js';
import {type EntryParts} from './parts.js';

/** Bandwidth of a link that doesn't limit a collector; 48 members in a fleet of 650 take up to 16 Mbit/s. */
const ampleLinkMbps = 50;

/** A collector's work grows with the CPU time, and its bundles take several Mbit/s. */
const collectorWeightOf = ({cpuShare, linkMbps}: EntryParts['settings']): number => cpuShare * Math.min(1, linkMbps / ampleLinkMbps);

/** Creates the exchange and applies peers' reports to the local state. */
export function wirePeers(parts: EntryParts, openTransport?: OpenDatagramTransport): PeerExchange {
	const {settings, timings, incarnation, log, quota, loadTracker, versions} = parts;
	/** Feeds by table name in reports; resolved lazily, since the feeds depend on the exchange. */
	const feeds: Record<string, () => ChangeFeed> = {
		operator: () => parts.operatorFeed,
		endpoints: () => parts.endpointFeed,
	};

	const onReport = (report: PeerReport): void => {
		if (report.isLeaving) {
			quota.removePeer(report.daemon);
			loadTracker.removePeer(report.daemon);
			parts.retryPart.forget(report.daemon);
			return;
		}

		parts.documentGuard.inForceElsewhere(report.heard.document ?? 0);
		quota.applyPeerReport(report);
		loadTracker.applyPeerReport(report);
		parts.storedParts.applyPeerReport(report.kept);
		parts.residentParts.applyPeerReport(report.placed);
		parts.quarantine.applyPeerReport(report.daemon, report);
		parts.limits.applyPeerReport(report.limits);
		parts.brittle.applyPeerReport(report.brittle);
		parts.origins.applyPeerReport(report.streams);
		for (const [id, startedAt] of report.ended) {
			const endpoint = parts.view.endpoint(id);
			if (endpoint?.startedAt === startedAt) {
				parts.presence.replaced(endpoint);
			}
		}

		for (const [id, startedAt] of report.leaving) {
			parts.view.markLeaving({id, startedAt}, 'peer');
		}

		for (const [model, version, ageMs] of report.named) {
			parts.view.acceptNamingAge(model, version, ageMs);
		}

		for (const [id, version, changingTo, sinceOrderMs, dueInMs] of report.engines) {
			// An engine that isn't listed yet is reported again.
			if (parts.view.endpoint(id) === undefined) {
				continue;
			}

			if (sinceOrderMs >= 0) {
				parts.weightsRollout.recordPeerOrder(id, sinceOrderMs);
			}

			versions.seen(id, version);
			if (changingTo > 0) {
				versions.changing(id, changingTo, dueInMs > 0 ? dueInMs : undefined);
			} else if (dueInMs >= 0) {
				versions.planned(id, plannedVersion(parts, id), dueInMs);
			}
		}

		for (const [table, relay] of report.relays) {
			if (Object.hasOwn(feeds, table)) {
				feeds[table]().relayed(report.daemon, relay);
			}
		}

		parts.admission.capacityChanged();
		for (const [table, feed] of Object.entries(feeds)) {
			feed().hint(report.heard[table] ?? 0);
		}
	};

	const exchange = createPeerExchange({
		name: settings.name,
		incarnation,
		dataCentre: settings.dataCentre,
		bind: {host: settings.peerPorts.host, port: settings.peerPorts.first},
		everyMs: timings.reportEveryMs,
		minSilenceMs: timings.minPeerSilenceMs,
		sharedClockMs: () => parts.store.clockMs(),
		collectorWeight: collectorWeightOf(settings),
		compose: () => ({
			heard: {
				operator: parts.operatorFeed.newestChange(), endpoints: parts.endpointFeed.newestChange(), document: parts.documentGuard.current()?.document.version ?? 0,
			},
			usage: quota.report(),
			loads: loadsForReport(parts),
			paces: loadTracker.reportPaces(),
			named: parts.view.recentWeights(settings.weightsMs * 2),
			duty: leaseForReport(parts),
			engines: enginesForReport(parts),
			ended: parts.presence.recentlyEnded(exchange.silenceMs()),
			kept: parts.storedParts.takeUnreported(),
			placed: parts.residentParts.takeUnreported(),
			...parts.quarantine.report(),
			limits: parts.limits.report(),
			brittle: parts.brittle.report(),
			dutyDelayMs: dutyDelayMs(parts),
			leaving: parts.view.unlistedLeaving().slice(-maxReportedLeaving).map(({id, startedAt}) => [id, startedAt]),
		}),
		takeStreams: peer => parts.origins.takeUnreported(peer),
		onReport,
		openTransport,
		log,
	});
	return exchange;
}

function loadsForReport({loadTracker, connectionShares}: EntryParts): PeerReport['loads'] {
	const loads = loadTracker.report();
	connectionShares.reported(loads);
	return loads;
}

/** Tells peers how long the lease may still be held, so that a successor waits no longer than needed. */
function leaseForReport({leases}: EntryParts): PeerReport['duty'] {
	const report = leases.report(weightsLease);
	return report === undefined ? null : [report.attempt, Math.ceil(report.msLeft)];
}

/** Rounds a finite number; -1 otherwise, since JSON has no infinity. */
function roundedOrMinusOne(ms: number): number {
	return Number.isFinite(ms) ? Math.round(ms) : -1;
}

/** A planned change always targets the newest named weights. */
function plannedVersion({view}: EntryParts, id: string): number {
	const [model] = view.endpoint(id)?.weights.keys() ?? [];
	return model === undefined ? 0 : view.namedWeights(model)?.version ?? 0;
}

/** Keeps a report within one datagram; planned changes are omitted first. */
const maxReportedEngines = 512;

type EngineReport = PeerReport['engines'][number];

/**
 * Weights versions and changes that the lease holder knows beyond the endpoint list. A former
 * holder continues to report its latest orders until the handover time is over.
 */
function enginesForReport({leases, versions, view, weightsRollout, timings}: EntryParts): EngineReport[] {
	const isHolder = leases.held(weightsLease) !== undefined;
	const changing = versions.allChanging();
	const current: EngineReport[] = [];
	const planned: EngineReport[] = [];
	for (const id of view.endpointIds()) {
		const endpoint = view.endpoint(id);
		const [model] = endpoint?.weights.keys() ?? [];
		if (endpoint === undefined || model === undefined) {
			continue;
		}

		const sinceOrderMs = weightsRollout.sinceOrderMs(id);
		const {version} = versions.of(endpoint, model);
		const dueInMs = isHolder ? roundedOrMinusOne(versions.reportedDueMs(endpoint, model)) : -1;
		const isOrdered = sinceOrderMs <= timings.handoverMs;
		const differsFromList = changing.has(id) || version !== endpoint.weights.get(model);
		const report: EngineReport = [id, version, changing.get(id) ?? 0, roundedOrMinusOne(sinceOrderMs), dueInMs];
		if (isOrdered || (isHolder && differsFromList)) {
			current.push(report);
		} else if (dueInMs >= 0) {
			planned.push(report);
		}
	}

	return [...current, ...planned].slice(0, maxReportedEngines);
}

/** Discovers peers by their rows in the store. */
export function wireDirectory({settings, timings, incarnation, ownTable, peers, log}: EntryParts) {
	return createPeerDirectory({
		name: settings.name,
		incarnation,
		address: `${settings.peerPorts.host}:${settings.peerPorts.first}`,
		table: ownTable,
		everyMs: () => timings.directoryEveryMs * peers.roundsPerRefresh(),
		onPeer: peers.learn,
		random: Math.random,
		log,
	});
}
