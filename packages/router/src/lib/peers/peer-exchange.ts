/**
 * Exchanges state reports with peers by UDP. Each report replaces the one before, so
 * lost datagrams need no retransmission.
 *
 * A round reaches a limited number of peers, those first that have waited longest. The time
 * in which rounds reach all peers thus grows with the fleet; what readers call stale
 * follows from it, see `refreshMs`.
 */
import {type Buffer} from 'node:buffer';
import {type Log} from '../observability/log.js';
import {createNewsLog} from './news-log.js';
import {type DatagramTransport, type OpenDatagramTransport, openUdpTransport} from './datagram-transport.js';
import {maxReportedParts, maxReportedPlacements, type PeerReport} from './peer-report.js';
import {decodeReport, encodeReport} from './report-codec.js';

/** A peer's latest report. */
export type HeardReport = {
	report: PeerReport;
	/** `performance.now()` at its arrival. */
	heardAt: number;
};

/** Report contents, without the fields that the exchange adds. */
export type OwnReport = Omit<PeerReport, 'daemon' | 'incarnation' | 'number' | 'address' | 'isLeaving'>;

/** Options of {@link createPeerExchange}. */
export type PeerExchangeOptions = {
	name: string;
	incarnation: number;
	bind: {host: string; port: number};
	/** Maximum time between two rounds of reports, in milliseconds. */
	everyMs: number;
	/** Lower bound of {@link PeerExchange.silenceMs}. */
	minSilenceMs: number;
	/** Returns the current report contents; `kept` and `placed` hold what is new since the last call. */
	compose: () => OwnReport;
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
	/** Latest reports of peers that are not away. */
	live: () => HeardReport[];
	/** Latest reports of all peers that are not yet forgotten, including away ones. */
	known: () => ReadonlyMap<string, HeardReport>;
	/** Daemons with a known address, including this one; complete once the directory was read. */
	fleetSize: () => number;
	/** Peers that one round of reports doesn't reach. */
	peersBeyondRound: () => number;
	/** Tells peers that this process stops, and closes the transport. */
	leave: () => Promise<void>;
	/** Sends a report to all peers, for what each must know at once; resolves when it was handed to the system. */
	sendNow: () => Promise<void>;
	/** Sends a report to one round's peers, unless one was sent within the minimum interval. */
	sendSoon: () => void;
	/** Maximum time between two reports from one live peer, if none is lost. */
	refreshMs: () => number;
	/** Silence after which a peer counts as away. */
	silenceMs: () => number;
};

type Peer = {
	address: string;
	learntAt: number;
	/** Number of the last report that was sent to it. */
	sentNumber: number;
};

/** Lower bound of the silence after which a peer is forgotten. */
const minForgetMs = 60_000;

/** Minimum interval between unscheduled reports. */
const minPauseMs = 40;

/** Fan-out limit, so that the cost of a round doesn't grow with the fleet. */
const maxPeersPerRound = 16;

/** Refresh intervals without a report after which a peer counts as away. */
const refreshesUntilAway = 5;

/** More peers that go away in one round share one log line. */
const maxAwayLines = 8;

/** Creates an exchange; it is silent until started. */
export function createPeerExchange(options: PeerExchangeOptions): PeerExchange {
	const {name, incarnation, log} = options;
	const address = `${options.bind.host}:${options.bind.port}`;
	/** Peers to send to; those first whose last scheduled report is the oldest. */
	const queue = new Map<string, Peer>();
	const reports = new Map<string, HeardReport>();
	/** Peers that were logged as away. */
	const away = new Set<string>();
	const keptNews = createNewsLog<PeerReport['kept'][number]>(maxReportedParts);
	const placedNews = createNewsLog<PeerReport['placed'][number]>(maxReportedPlacements);
	let transport: DatagramTransport | undefined;
	let timer: NodeJS.Timeout | undefined;
	let number = 0;
	let announcement: Promise<void> | undefined;
	let hasLeft = false;
	let sentAt = Number.NEGATIVE_INFINITY;

	const refreshMs = (): number => Math.max(1, Math.ceil(queue.size / maxPeersPerRound)) * options.everyMs;

	const silenceMs = (): number => Math.max(options.minSilenceMs, refreshMs() * refreshesUntilAway);

	const isAway = (heard: HeardReport): boolean => performance.now() - heard.heardAt > silenceMs();

	const learn = (daemon: string, peerAddress: string): void => {
		if (daemon !== name) {
			const sentNumber = queue.get(daemon)?.sentNumber ?? number;
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
			log.warn('Datagram is no report and is dropped.', {bytes: content.length, err: error});
			return;
		}

		const known = reports.get(report.daemon);
		if (report.daemon === name || (known !== undefined && isOutdated(report, known.report))) {
			return;
		}

		const wasAway = away.delete(report.daemon);
		if (known?.report.incarnation !== report.incarnation || wasAway) {
			log.info('Peer is heard.', {peer: report.daemon, incarnation: report.incarnation, ms: known && Math.round(performance.now() - known.heardAt)});
		}

		reports.set(report.daemon, {report, heardAt: performance.now()});
		learn(report.daemon, report.address);
		if (report.isLeaving) {
			reports.delete(report.daemon);
			queue.delete(report.daemon);
			log.info('Peer leaves.', {peer: report.daemon});
		}

		options.onReport(report);
	};

	/** Returns an encoder of one report; peers that lack the same news share a datagram. */
	const createEncoder = (isLeaving: boolean): (peer: Peer) => Buffer => {
		const {kept, placed, ...state} = options.compose();
		keptNews.add(kept, number);
		placedNews.add(placed, number);
		const contents = new Map<string, Buffer>();
		return ({sentNumber}) => {
			const news = {kept: keptNews.since(sentNumber), placed: placedNews.since(sentNumber)};
			const key = `${news.kept.length} ${news.placed.length}`;
			const content = contents.get(key) ?? encodeReport({
				daemon: name, incarnation, number, address, isLeaving, ...state, ...news,
			});
			contents.set(key, content);
			return content;
		};
	};

	const send = async (peers: ReadonlyArray<[string, Peer]>, isLeaving = false): Promise<void> => {
		if (transport === undefined) {
			return;
		}

		number++;
		sentAt = performance.now();
		const encode = createEncoder(isLeaving);
		const sends: Array<Promise<void>> = [];
		for (const [, peer] of peers) {
			sends.push(transport.send(encode(peer), peer.address));
			peer.sentNumber = number;
		}

		await Promise.all(sends);
	};

	const sendRound = (): void => {
		if (hasLeft) {
			return;
		}

		const peers = [...queue].slice(0, maxPeersPerRound);
		for (const [daemon, peer] of peers) {
			queue.delete(daemon);
			queue.set(daemon, peer);
		}

		void send(peers);
		// A round that is sent early takes the place of the next one.
		timer?.refresh();
	};

	/** Several calls of one turn of the event loop share a report. */
	const announceOnce = async (): Promise<void> => {
		await Promise.resolve();
		announcement = undefined;
		if (!hasLeft) {
			await send([...queue]);
		}
	};

	const forgetOld = (): void => {
		const now = performance.now();
		const forgetMs = Math.max(minForgetMs, silenceMs());
		for (const [daemon, {learntAt}] of queue) {
			const heardAt = reports.get(daemon)?.heardAt ?? learntAt;
			if (now - Math.max(heardAt, learntAt) > forgetMs) {
				queue.delete(daemon);
				reports.delete(daemon);
				away.delete(daemon);
			}
		}
	};

	const logAway = (): void => {
		const now = performance.now();
		const newlyAway = [...reports.values()].filter(heard => isAway(heard) && !away.has(heard.report.daemon));
		for (const {report: {daemon}, heardAt} of newlyAway) {
			away.add(daemon);
			if (newlyAway.length <= maxAwayLines) {
				log.info('Peer is away.', {peer: daemon, ms: Math.round(now - heardAt)});
			}
		}

		if (newlyAway.length > maxAwayLines) {
			log.info('Many peers are away.', {count: newlyAway.length});
		}
	};

	return {
		async start() {
			transport = await (options.openTransport ?? openUdpTransport)({bind: options.bind, onDatagram: receive, log});
			timer = setInterval(() => {
				forgetOld();
				logAway();
				sendRound();
			}, options.everyMs);
		},
		learn,
		live: () => [...reports.values()].filter(heard => !isAway(heard)),
		known: () => reports,
		fleetSize: () => queue.size + 1,
		peersBeyondRound: () => Math.max(0, queue.size - maxPeersPerRound),
		async leave() {
			clearInterval(timer);
			hasLeft = true;
			if (transport === undefined) {
				return;
			}

			// Closing the transport before the send completes would drop the last report, and peers
			// would count this daemon's load until it times out.
			await send([...queue], true);
			const closing = transport;
			transport = undefined;
			await closing.close();
		},
		async sendNow() {
			announcement ??= announceOnce();
			return announcement;
		},
		sendSoon() {
			if (performance.now() - sentAt >= minPauseMs) {
				sendRound();
			}
		},
		refreshMs,
		silenceMs,
	};
}
