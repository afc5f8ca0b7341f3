/**
 * Exchanges state reports with peers over UDP. Each report replaces the previous one, so
 * lost datagrams need no retransmission.
 *
 * A round reaches a limited number of peers, those first that have waited longest (see
 * `round-schedule`). The time in which rounds reach all peers grows with the fleet, and staleness
 * thresholds are derived from it, see `refreshMs`.
 *
 * In a fleet that is larger than one round, reports travel in bundles (see `bundle-exchange`), and
 * rounds go only to the peers whose reports don't arrive in bundles: those of an older version, and
 * all while no collector works. Urgent reports are sent directly to their recipients.
 */
import {type Buffer} from 'node:buffer';
import {LRUCache} from 'lru-cache';
import {type FeedRelay} from '../fleet/feed-relay.js';
import {createLineBudget} from '../observability/line-budget.js';
import {type Log} from '../observability/log.js';
import {orderedBy} from '../routing/rendezvous.js';
import {type BundleEntry, isBundle} from './bundle-codec.js';
import {type BundleExchange, createBundleExchange} from './bundle-exchange.js';
import {createOwnUpdates} from './bundle-updates.js';
import {createEntryDecoder} from './entry-decoder.js';
import {createUpdateLog} from './update-log.js';
import {type DatagramTransport, type OpenDatagramTransport, openUdpTransport} from './datagram-transport.js';
import {maxReportedParts, maxReportedPlacements, type PeerReport} from './peer-report.js';
import {createReportAccount} from './report-account.js';
import {encodeReport, readReport} from './report-codec.js';
import {encodeReportText} from './report-text.js';
import {createRoundSchedule, maxPeersPerRound} from './round-schedule.js';

/** A peer's latest report. */
export type HeardReport = {
	report: PeerReport;
	/** `performance.now()` at its arrival; for a report in a bundle, when it was sent as far as is known, and never earlier. */
	heardAt: number;
};

/** Report contents, without the fields that the exchange adds. */
export type OwnReport = Omit<PeerReport, 'daemon' | 'incarnation' | 'number' | 'address' | 'isLeaving' | 'dataCentre' | 'relays' | 'streams' | 'collectorWeight'>;

/** Report fields that depend on the recipients. */
type SendFields = Pick<PeerReport, 'isLeaving' | 'relays'>;

/** Options of {@link createPeerExchange}. */
export type PeerExchangeOptions = {
	name: string;
	incarnation: number;
	dataCentre: string;
	bind: {host: string; port: number};
	/** Maximum interval between rounds while each round reaches all peers, in milliseconds. */
	everyMs: number;
	/** Lower bound of {@link PeerExchange.silenceMs}. */
	minSilenceMs: number;
	/** A clock in milliseconds that all daemons share, which rounds follow in step; `undefined` while it is unknown. */
	sharedClockMs?: () => number | undefined;
	/** Preference for this daemon as a collector of reports; 0 or absent if it takes no part in bundles. */
	collectorWeight?: number;
	/** Returns the current report contents; `kept` and `placed` hold only what is new since the last call. */
	compose: () => OwnReport;
	/** Takes the streams that one peer has to be told. */
	takeStreams?: (peer: string) => PeerReport['streams'];
	/** Called for each new report. */
	onReport: (report: PeerReport) => void;
	/** Defaults to UDP. */
	openTransport?: OpenDatagramTransport | undefined;
	log: Log;
};

/** The exchange. */
export type PeerExchange = {
	/** Opens the transport and starts sending. */
	start: () => Promise<void>;
	/** Adds a peer's address from the directory; reports carry it as well. */
	learn: (daemon: string, address: string) => void;
	/** Latest reports of peers that are not silent. */
	live: () => HeardReport[];
	/** Latest reports of all peers that are not yet forgotten, including silent ones. */
	known: () => ReadonlyMap<string, HeardReport>;
	/** Peers that share feed reads with this daemon and are not silent: all, or in a large fleet those of its data centre. */
	group: () => string[];
	/** Sends a report with a relayed store answer to the group, including silent peers; relays of one turn of the event loop share a report. */
	relay: (table: string, relay: FeedRelay) => void;
	/** Number of daemons with a known address, including this one; complete once the directory was read. */
	fleetSize: () => number;
	/** Number of peers that one round doesn't reach. */
	peersBeyondRound: () => number;
	/** Tells peers that this process is stopping, and closes the transport. */
	leave: () => Promise<void>;
	/** Sends a report to all peers at once, for urgent changes; resolves once the operating system has taken it. */
	sendNow: () => Promise<void>;
	/** Sends the next round now, unless a report was sent within the minimum interval. Peers that get bundles are left to these. */
	sendRoundEarly: () => void;
	/** Number of rounds that reach all peers. */
	roundsPerRefresh: () => number;
	/** Sends a report to these peers, or all, ahead of their turn; calls within the minimum interval share a report. */
	sendSoonTo: (daemons: readonly string[] | 'all') => void;
	/** Maximum interval between two reports from a live peer, if none is lost. */
	refreshMs: () => number;
	/** Time without a report after which a peer counts as silent. */
	silenceMs: () => number;
};

type Peer = {
	address: string;
	learntAt: number;
	/** Number of the last report that was sent to it. */
	sentNumber: number;
};

/** Fleets up to this size form one group, which shares feed reads. */
const maxGroupSize = 32;

/** Lower bound of the time without a report after which a peer is forgotten. */
const minForgetMs = 60_000;

/** Minimum interval between unscheduled reports. */
const minSendIntervalMs = 40;

/** Refresh intervals without a report after which a peer counts as silent. */
const refreshesUntilSilent = 3;

/** Intervals between bundles that make up a refresh: a lost datagram delays a report by one of them. */
const intervalsPerRefresh = 2;

/**
 * Intervals without a report in a bundle after which a peer counts as silent. A lost collector is
 * replaced within five. A report passes three datagrams, so that at a loss of 5% one in seven misses
 * its bundle; after six intervals, some pair of 71 daemons would be silent every few seconds.
 */
const silentIntervals = 8;

/** Number of the latest bundles whose updates are repeated to a peer that gets none any more. */
const repeatedBundles = 4;

/** Time for which late reports of a peer that has stopped are ignored. */
const departureMs = 10_000;

/** If more peers than this become silent in one round, they share one log line. */
const maxSilentLogLines = 8;

/** Log lines of each kind for reports that are invalid or can't be applied. */
const faultLinesPerSecond = 2;

/** Upper bound on the text of all peers' latest reports, in bytes. */
const maxReportBytes = 4 * 1024 * 1024;

/** Stops that are remembered at a time. */
const maxDepartures = 4096;

/** Creates an exchange; it sends nothing until started. */
export function createPeerExchange(options: PeerExchangeOptions): PeerExchange {
	const {name, incarnation, log} = options;
	const address = `${options.bind.host}:${options.bind.port}`;
	/** Peers to send to, ordered by their last scheduled report, oldest first. */
	const queue = new Map<string, Peer>();
	/** Peers that no round has included yet. */
	let newPeers = new Set<string>();
	const reports = new Map<string, HeardReport>();
	const reportAccount = createReportAccount(maxReportBytes);
	/** Peers that the directory lists. */
	const listed = new Set<string>();
	/** Peers that were logged as silent. */
	const silentPeers = new Set<string>();
	const keptUpdates = createUpdateLog<PeerReport['kept'][number]>(maxReportedParts);
	const placedUpdates = createUpdateLog<PeerReport['placed'][number]>(maxReportedPlacements);
	let transport: DatagramTransport | undefined;
	let timer: NodeJS.Timeout | undefined;
	let number = 0;
	let pendingBroadcast: Promise<void> | undefined;
	let relays: PeerReport['relays'] = [];
	/** Peers that get a report ahead of their turn. */
	let urgentPeers = new Set<string>();
	let urgentTimer: NodeJS.Timeout | undefined;
	let urgentSentAt = Number.NEGATIVE_INFINITY;
	let hasLeft = false;
	let sentAt = Number.NEGATIVE_INFINITY;
	/** Peers that announced their stop: their incarnation, and when. */
	const departures = new LRUCache<string, {incarnation: number; at: number}>({max: maxDepartures});
	const ownUpdates = createOwnUpdates();
	const lineBudget = createLineBudget({perSecond: {other: faultLinesPerSecond}});
	const entryDecoder = createEntryDecoder();
	/** Numbers of the latest reports in bundles. */
	let bundledNumbers: number[] = [];
	/** Whether the reports of some live peer arrive by rounds. */
	let hasRoundPeers = true;

	const schedule = createRoundSchedule({
		everyMs: options.everyMs, peerCount: () => queue.size, sharedClockMs: options.sharedClockMs,
	});

	const usesBundles = (): boolean => bundles.isReceiving() && !hasRoundPeers;

	const refreshMs = (): number => usesBundles() ? bundles.intervalMs() * intervalsPerRefresh : schedule.refreshMs();

	/** Silence of a peer whose reports arrive in bundles, or else by rounds. */
	const silenceOf = (isBundled: boolean): number =>
		Math.max(options.minSilenceMs, isBundled ? bundles.intervalMs() * silentIntervals : schedule.refreshMs() * refreshesUntilSilent);

	const silenceMs = (): number => silenceOf(usesBundles());

	/** Whether the latest report came by a round rather than in a bundle. */
	const isFromRound = ({report: {daemon}, heardAt}: HeardReport): boolean => !bundles.isCovered(daemon, heardAt);

	/** Without bundles, a daemon can't tell which peers are silent until rounds would have reached it. */
	const isSilent = (heard: HeardReport): boolean =>
		performance.now() - heard.heardAt > silenceOf(bundles.isReceiving() && !isFromRound(heard));

	/** Peers to which rounds of reports go. */
	const roundPeers = (): Array<[string, Peer]> => [...queue].filter(([daemon]) => !bundles.isRunning() || !bundles.isCovered(daemon));

	const learn = (daemon: string, peerAddress: string): void => {
		if (daemon !== name) {
			const known = queue.get(daemon);
			const sentNumber = known?.sentNumber ?? number;
			if (known === undefined) {
				newPeers.add(daemon);
			}

			queue.set(daemon, {address: peerAddress, learntAt: performance.now(), sentNumber});
		}
	};

	const isOutdated = (report: Pick<PeerReport, 'incarnation' | 'number'>, known: PeerReport): boolean =>
		report.incarnation < known.incarnation
		|| (report.incarnation === known.incarnation && report.number <= known.number);

	const isCurrent = (report: Pick<PeerReport, 'daemon' | 'incarnation' | 'number'>): boolean => {
		const known = reports.get(report.daemon);
		return report.daemon !== name
			&& report.incarnation !== departures.get(report.daemon)?.incarnation
			&& (known === undefined || !isOutdated(report, known.report));
	};

	const hasRoomFor = ({daemon}: Pick<PeerReport, 'daemon'>, bytes: number): boolean => {
		const hasRoom = reportAccount.hold(daemon, {bytes, isListed: listed.has(daemon)});
		if (!hasRoom && lineBudget.take('room')) {
			log.warn('Report is dropped, since those of the peers take too much memory.', {peer: daemon, bytes});
		}

		return hasRoom;
	};

	const receive = (content: Buffer): void => {
		if (isBundle(content)) {
			bundles.receive(content);
			return;
		}

		let received: {report: PeerReport; bytes: number};
		try {
			received = readReport(content);
		} catch (error) {
			if (lineBudget.take('invalid')) {
				log.warn('Datagram is not a valid report and is dropped.', {bytes: content.length, err: error});
			}

			return;
		}

		const {report, bytes} = received;
		if (isCurrent(report) && hasRoomFor(report, bytes)) {
			accept(report, performance.now());
		}
	};

	const receiveEntry = (entry: BundleEntry, heardAt: number): boolean => {
		if (!isCurrent(entry)) {
			return true;
		}

		if (!hasRoomFor(entry, entry.text.length + entry.updates.length)) {
			return false;
		}

		try {
			accept(entryDecoder.decode(entry), heardAt);
			return true;
		} catch (error) {
			if (lineBudget.take('entry')) {
				log.warn('Report in a bundle is not valid and is dropped.', {peer: entry.daemon, err: error});
			}

			return false;
		}
	};

	const accept = (report: PeerReport, heardAt: number): void => {
		const known = reports.get(report.daemon);
		const wasSilent = silentPeers.delete(report.daemon);
		if (known?.report.incarnation !== report.incarnation || wasSilent) {
			log.info('Peer sends reports.', {peer: report.daemon, incarnation: report.incarnation, ms: known && Math.round(performance.now() - known.heardAt)});
		}

		reports.set(report.daemon, {report, heardAt});
		learn(report.daemon, report.address);
		if (report.isLeaving) {
			departures.set(report.daemon, {incarnation: report.incarnation, at: performance.now()});
			forget(report.daemon);
			log.info('Peer is stopping.', {peer: report.daemon});
		}

		try {
			options.onReport(report);
		} catch (error) {
			// The report itself is valid, and a bundle that holds it is passed on.
			if (lineBudget.take('unapplied')) {
				log.error('Handler of a peer\'s report threw an error.', {peer: report.daemon, err: error});
			}
		}
	};

	const forget = (daemon: string): void => {
		queue.delete(daemon);
		listed.delete(daemon);
		reports.delete(daemon);
		reportAccount.release(daemon);
		silentPeers.delete(daemon);
		bundles.forget(daemon);
		entryDecoder.forget(daemon);
	};

	/** Composes the contents of the next report, and records its updates. */
	const composeNext = (): Omit<OwnReport, 'kept' | 'placed'> => {
		number++;
		sentAt = performance.now();
		const {kept, placed, ...state} = options.compose();
		keptUpdates.add(kept, number);
		placedUpdates.add(placed, number);
		return state;
	};

	const collectorWeight = (): number => isBeyondRound() ? options.collectorWeight ?? 0 : 0;

	/** Composes a report for the bundles, which bring its updates to all covered peers. */
	const composeEntry = (): BundleEntry => {
		const state = composeNext();
		const since = bundledNumbers.at(-1) ?? 0;
		bundledNumbers = [...bundledNumbers, number].slice(-repeatedBundles);
		for (const [daemon, peer] of queue) {
			if (bundles.isCovered(daemon)) {
				peer.sentNumber = bundledNumbers[0];
			}
		}

		return {
			daemon: name, incarnation, number, ageMs: 0,
			text: encodeReportText({
				...state, address, dataCentre: options.dataCentre, collectorWeight: collectorWeight(),
			}),
			...ownUpdates.encode(number, {kept: keptUpdates.since(since), placed: placedUpdates.since(since)}),
		};
	};

	/** Returns an encoder of one report; peers that lack the same updates, and have to be told no streams, share a datagram. */
	const createEncoder = (extra: SendFields): (daemon: string, peer: Peer) => Buffer => {
		const state = composeNext();
		const contents = new Map<string, Buffer>();
		return (daemon, {sentNumber}) => {
			const updates = bundles.isRunning() && bundles.isCovered(daemon)
				? {kept: [], placed: []}
				: {kept: keptUpdates.since(sentNumber), placed: placedUpdates.since(sentNumber)};
			const encode = (streams: PeerReport['streams']): Buffer => encodeReport({
				daemon: name, incarnation, number, address, dataCentre: options.dataCentre, ...extra, ...state, ...updates, streams, collectorWeight: collectorWeight(),
			});
			const streams = options.takeStreams?.(daemon) ?? [];
			if (streams.length > 0) {
				return encode(streams);
			}

			const key = `${updates.kept.length} ${updates.placed.length}`;
			const content = contents.get(key) ?? encode([]);
			contents.set(key, content);
			return content;
		};
	};

	const encodeAndSend = async (peers: ReadonlyArray<[string, Peer]>, extra: Partial<SendFields>): Promise<void> => {
		if (transport === undefined) {
			return;
		}

		const encode = createEncoder({isLeaving: false, relays: [], ...extra});
		const sends: Array<Promise<void>> = [];
		for (const [daemon, peer] of peers) {
			sends.push(transport.send(encode(daemon, peer), peer.address));
			peer.sentNumber = number;
		}

		await Promise.all(sends);
	};

	const send = async (peers: ReadonlyArray<[string, Peer]>, extra: Partial<SendFields> = {}): Promise<void> => {
		try {
			await encodeAndSend(peers, extra);
		} catch (error) {
			log.error('Report could not be composed.', {err: error});
		}
	};

	/** An early round replaces the next scheduled one. */
	const scheduleRound = (): void => {
		clearTimeout(timer);
		timer = setTimeout(() => {
			try {
				forgetExpired();
				logSilent();
				sendRound();
			} catch (error) {
				log.error('Round of reports failed.', {err: error});
				scheduleRound();
			}
		}, schedule.untilNextMs());
	};

	/** While bundles arrive, rounds go only to peers that are not covered, and none are scheduled without such peers. */
	const checkPeers = (): void => {
		forgetExpired();
		logSilent();
		hasRoundPeers = [...reports.values()].some(heard => isFromRound(heard) && !isSilent(heard));
		if (timer === undefined && (!bundles.isRunning() || roundPeers().length > 0)) {
			scheduleRound();
		}
	};

	/** Daemons learn of peers in the same order; without a different order on each, all would report to the same few at a time. */
	const shuffleNewPeers = (): void => {
		for (const daemon of orderedBy(`round ${name}`, [...newPeers])) {
			const peer = queue.get(daemon);
			if (peer !== undefined) {
				queue.delete(daemon);
				queue.set(daemon, peer);
			}
		}

		newPeers = new Set();
	};

	const sendRound = (): void => {
		if (hasLeft) {
			return;
		}

		shuffleNewPeers();
		bundles.startIfNeeded();
		const recipients = roundPeers();
		// Few peers that aren't covered are reached within the same refresh interval, not earlier.
		const peersPerRound = bundles.isRunning() ? Math.ceil(recipients.length / schedule.roundsPerRefresh()) : maxPeersPerRound;
		const peers = recipients.slice(0, peersPerRound);
		if (bundles.isRunning() && peers.length === 0) {
			clearTimeout(timer);
			timer = undefined;
			return;
		}

		for (const [daemon, peer] of peers) {
			queue.delete(daemon);
			queue.set(daemon, peer);
		}

		void send(peers);
		scheduleRound();
	};

	/** Calls within one turn of the event loop share a report. */
	const broadcastOnce = async (): Promise<void> => {
		await Promise.resolve();
		pendingBroadcast = undefined;
		if (!hasLeft) {
			await send([...queue]);
		}
	};

	/** The data centre of a peer is unknown until its first report. */
	const isInGroup = (daemon: string): boolean =>
		queue.size < maxGroupSize || reports.get(daemon)?.report.dataCentre === options.dataCentre;

	const sendRelays = async (): Promise<void> => {
		await Promise.resolve();
		const batch = relays;
		relays = [];
		if (!hasLeft) {
			await send([...queue].filter(([daemon]) => isInGroup(daemon)), {relays: batch});
		}
	};

	const sendUrgent = (): void => {
		urgentTimer = undefined;
		urgentSentAt = performance.now();
		const recipients = urgentPeers;
		urgentPeers = new Set();
		if (!hasLeft) {
			void send([...queue].filter(([daemon]) => recipients.has(daemon)));
		}
	};

	const forgetExpired = (): void => {
		const now = performance.now();
		const forgetMs = Math.max(minForgetMs, silenceMs());
		for (const [daemon, {learntAt}] of queue) {
			const heardAt = reports.get(daemon)?.heardAt ?? learntAt;
			if (now - Math.max(heardAt, learntAt) > forgetMs) {
				forget(daemon);
			}
		}

		for (const [daemon, {at}] of departures.entries()) {
			if (now - at > departureMs) {
				departures.delete(daemon);
			}
		}
	};

	const logSilent = (): void => {
		const now = performance.now();
		const newlySilent = [...reports.values()].filter(heard => isSilent(heard) && !silentPeers.has(heard.report.daemon));
		for (const {report: {daemon}, heardAt} of newlySilent) {
			silentPeers.add(daemon);
			if (newlySilent.length <= maxSilentLogLines) {
				log.info('Peer is silent.', {peer: daemon, ms: Math.round(now - heardAt)});
			}
		}

		if (newlySilent.length > maxSilentLogLines) {
			log.info('Many peers are silent.', {count: newlySilent.length});
		}
	};

	const isBeyondRound = (): boolean => queue.size > maxPeersPerRound;

	const bundles: BundleExchange = createBundleExchange({
		name,
		address,
		dataCentre: options.dataCentre,
		weight: options.collectorWeight ?? 0,
		everyMs: options.everyMs,
		sharedClockMs: () => options.sharedClockMs?.(),
		fleetSize: () => queue.size + 1,
		isNeeded: () => !hasLeft && isBeyondRound() && (options.collectorWeight ?? 0) > 0,
		peers: () => [...reports.values()]
			.filter(heard => heard.report.collectorWeight > 0 && !isSilent(heard))
			.map(({report}) => ({
				name: report.daemon, address: report.address, dataCentre: report.dataCentre, weight: report.collectorWeight,
			})),
		ownEntry: composeEntry,
		onEntry: receiveEntry,
		isKnown: daemon => reports.has(daemon),
		onInterval: checkPeers,
		send(content, to) {
			void transport?.send(content, to);
		},
		log,
	});

	return {
		async start() {
			transport = await (options.openTransport ?? openUdpTransport)({bind: options.bind, onDatagram: receive, log});
			scheduleRound();
		},
		learn(daemon, peerAddress) {
			listed.add(daemon);
			learn(daemon, peerAddress);
		},
		live: () => [...reports.values()].filter(heard => !isSilent(heard)),
		known: () => reports,
		group: () => [...reports].filter(([daemon, heard]) => isInGroup(daemon) && !isSilent(heard)).map(([daemon]) => daemon),
		relay(table, relay) {
			if (relays.push([table, relay]) === 1) {
				void sendRelays();
			}
		},
		fleetSize: () => queue.size + 1,
		peersBeyondRound: () => Math.max(0, queue.size - maxPeersPerRound),
		async leave() {
			clearTimeout(timer);
			clearTimeout(urgentTimer);
			bundles.close();
			hasLeft = true;
			if (transport === undefined) {
				return;
			}

			// Closing the transport before the send completes would drop the last report, and peers
			// would count this daemon's load until it times out.
			await send([...queue], {isLeaving: true});
			const closing = transport;
			transport = undefined;
			await closing.close();
		},
		async sendNow() {
			pendingBroadcast ??= broadcastOnce();
			return pendingBroadcast;
		},
		sendRoundEarly() {
			if (performance.now() - sentAt >= minSendIntervalMs) {
				sendRound();
			}
		},
		roundsPerRefresh: schedule.roundsPerRefresh,
		sendSoonTo(daemons) {
			for (const daemon of daemons === 'all' ? queue.keys() : daemons) {
				urgentPeers.add(daemon);
			}

			urgentTimer ??= setTimeout(sendUrgent, Math.max(0, urgentSentAt + minSendIntervalMs - performance.now()));
		},
		refreshMs,
		silenceMs,
	};
}
