/**
 * Exchanges state reports with peers over UDP. Each report replaces the previous one, so
 * lost datagrams need no retransmission.
 *
 * A round reaches a limited number of peers, those first that have waited longest (see
 * `round-schedule`). The time in which rounds reach all peers grows with the fleet, and staleness
 * thresholds are derived from it, see `refreshMs`.
 */
import {type Buffer} from 'node:buffer';
import {type FeedRelay} from '../fleet/feed-relay.js';
import {type Log} from '../observability/log.js';
import {orderedBy} from '../routing/rendezvous.js';
import {createUpdateLog} from './update-log.js';
import {type DatagramTransport, type OpenDatagramTransport, openUdpTransport} from './datagram-transport.js';
import {maxReportedParts, maxReportedPlacements, type PeerReport} from './peer-report.js';
import {decodeReport, encodeReport} from './report-codec.js';
import {createRoundSchedule, maxPeersPerRound} from './round-schedule.js';

/** A peer's latest report. */
export type HeardReport = {
	report: PeerReport;
	/** `performance.now()` at its arrival. */
	heardAt: number;
};

/** Report contents, without the fields that the exchange adds. */
export type OwnReport = Omit<PeerReport, 'daemon' | 'incarnation' | 'number' | 'address' | 'isLeaving' | 'dataCentre' | 'relays' | 'streams'>;

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
	/** Sends the next round now, unless a report was sent within the minimum interval. */
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

/** If more peers than this become silent in one round, they share one log line. */
const maxSilentLogLines = 8;

/** Creates an exchange; it sends nothing until started. */
export function createPeerExchange(options: PeerExchangeOptions): PeerExchange {
	const {name, incarnation, log} = options;
	const address = `${options.bind.host}:${options.bind.port}`;
	/** Peers to send to, ordered by their last scheduled report, oldest first. */
	const queue = new Map<string, Peer>();
	/** Peers that no round has included yet. */
	let newPeers = new Set<string>();
	const reports = new Map<string, HeardReport>();
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

	const {roundsPerRefresh, refreshMs, untilNextMs} = createRoundSchedule({
		everyMs: options.everyMs, peerCount: () => queue.size, sharedClockMs: options.sharedClockMs,
	});

	const silenceMs = (): number => Math.max(options.minSilenceMs, refreshMs() * refreshesUntilSilent);

	const isSilent = (heard: HeardReport): boolean => performance.now() - heard.heardAt > silenceMs();

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

	const isOutdated = (report: PeerReport, known: PeerReport): boolean =>
		report.incarnation < known.incarnation
		|| (report.incarnation === known.incarnation && report.number <= known.number);

	const receive = (content: Buffer): void => {
		let report: PeerReport;
		try {
			report = decodeReport(content);
		} catch (error) {
			log.warn('Datagram is not a valid report and is dropped.', {bytes: content.length, err: error});
			return;
		}

		const known = reports.get(report.daemon);
		if (report.daemon === name || (known !== undefined && isOutdated(report, known.report))) {
			return;
		}

		const wasSilent = silentPeers.delete(report.daemon);
		if (known?.report.incarnation !== report.incarnation || wasSilent) {
			log.info('Peer sends reports.', {peer: report.daemon, incarnation: report.incarnation, ms: known && Math.round(performance.now() - known.heardAt)});
		}

		reports.set(report.daemon, {report, heardAt: performance.now()});
		learn(report.daemon, report.address);
		if (report.isLeaving) {
			reports.delete(report.daemon);
			queue.delete(report.daemon);
			log.info('Peer is stopping.', {peer: report.daemon});
		}

		options.onReport(report);
	};

	/** Returns an encoder of one report; peers that lack the same updates, and have to be told no streams, share a datagram. */
	const createEncoder = (extra: SendFields): (daemon: string, peer: Peer) => Buffer => {
		const {kept, placed, ...state} = options.compose();
		keptUpdates.add(kept, number);
		placedUpdates.add(placed, number);
		const contents = new Map<string, Buffer>();
		return (daemon, {sentNumber}) => {
			const updates = {kept: keptUpdates.since(sentNumber), placed: placedUpdates.since(sentNumber)};
			const encode = (streams: PeerReport['streams']): Buffer => encodeReport({
				daemon: name, incarnation, number, address, dataCentre: options.dataCentre, ...extra, ...state, ...updates, streams,
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

	const send = async (peers: ReadonlyArray<[string, Peer]>, extra: Partial<SendFields> = {}): Promise<void> => {
		if (transport === undefined) {
			return;
		}

		number++;
		sentAt = performance.now();
		const encode = createEncoder({isLeaving: false, relays: [], ...extra});
		const sends: Array<Promise<void>> = [];
		for (const [daemon, peer] of peers) {
			sends.push(transport.send(encode(daemon, peer), peer.address));
			peer.sentNumber = number;
		}

		await Promise.all(sends);
	};

	/** An early round replaces the next scheduled one. */
	const scheduleRound = (): void => {
		clearTimeout(timer);
		timer = setTimeout(() => {
			forgetExpired();
			logSilent();
			sendRound();
		}, untilNextMs());
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
		const peers = [...queue].slice(0, maxPeersPerRound);
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
				queue.delete(daemon);
				reports.delete(daemon);
				silentPeers.delete(daemon);
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

	return {
		async start() {
			transport = await (options.openTransport ?? openUdpTransport)({bind: options.bind, onDatagram: receive, log});
			scheduleRound();
		},
		learn,
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
		roundsPerRefresh,
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
