/** Wires what daemons tell each other. */
import {
	createPeerDirectory, createPeerExchange, type PeerExchange, type PeerReport,
} from 'hickorywalk/peers.js';
import {weightsDuty} from './duty-wiring.js';
import {type EntryParts} from './parts.js';

/** Reports to peers, and what theirs change here. */
export function wirePeers(parts: EntryParts): PeerExchange {
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
		parts.resident.heard(report.placed);
		for (const [id, startedAt] of report.ended) {
			const endpoint = parts.view.endpoint(id);
			if (endpoint?.startedAt === startedAt) {
				parts.presence.replaced(endpoint);
			}
		}

		for (const [model, version, ageMs] of report.named) {
			parts.view.datedWeights(model, version, ageMs);
		}

		for (const [id, version, changingTo, sinceOrderMs, dueInMs] of report.engines) {
			if (sinceOrderMs >= 0) {
				parts.keeper.heardOrder(id, sinceOrderMs);
			}

			versions.seen(id, version);
			if (changingTo > 0) {
				versions.changing(id, changingTo);
			}

			if (dueInMs >= 0) {
				versions.planned(id, plannedVersion(parts, id), dueInMs);
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
			placed: parts.resident.takeNews(),
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

/** A finite time in whole milliseconds, else -1. */
function roundedOr(ms: number): number {
	return Number.isFinite(ms) ? Math.round(ms) : -1;
}

/** An engine that is to be emptied comes to the newest weights of its model. */
function plannedVersion({view}: EntryParts, id: string): number {
	const [model] = view.endpoint(id)?.weights.keys() ?? [];
	return model === undefined ? 0 : view.namedWeights(model)?.version ?? 0;
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
			const {version, dueInMs} = versions.of(endpoint, model);
			engines.push([id, version, changing.get(id) ?? 0, roundedOr(sinceOrderMs), roundedOr(dueInMs)]);
		}
	}

	return engines;
}

/** Finds peers by their rows in the store. */
export function wireDirectory({settings, timings, incarnation, ownTable, peers, log}: EntryParts) {
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
