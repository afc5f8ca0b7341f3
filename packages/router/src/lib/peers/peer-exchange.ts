/**
 * Exchanges state reports with peers by UDP. Each report replaces the one before, so
 * lost datagrams need no retransmission.
 */
import {type Buffer} from 'node:buffer';
import {type Log} from '../observability/log.js';
import {type DatagramTransport, type OpenDatagramTransport, openUdpTransport} from './datagram-transport.js';
import {type PeerReport} from './peer-report.js';
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
	/** Milliseconds between two reports. */
	everyMs: number;
	/** Milliseconds of silence after which a peer counts as away. */
	silenceMs: number;
	/** Returns the current report contents. */
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
	/** Tells peers that this process stops, and closes the transport. */
	leave: () => Promise<void>;
	/** Sends a report at once. */
	sendNow: () => void;
	/** Sends a report, unless one was sent within the minimum interval. */
	sendSoon: () => void;
};

/** Silence after which a peer is forgotten. */
const forgetMs = 60_000;

/** Minimum interval between unscheduled reports. */
const minPauseMs = 40;

/** Fan-out limit, so that the cost of a round doesn't grow with the fleet. */
const maxPeersPerRound = 16;

/** Creates an exchange; it is silent until started. */
export function createPeerExchange(options: PeerExchangeOptions): PeerExchange {
	const {name, incarnation, log} = options;
	const address = `${options.bind.host}:${options.bind.port}`;
	const addresses = new Map<string, {address: string; learntAt: number}>();
	const reports = new Map<string, HeardReport>();
	let transport: DatagramTransport | undefined;
	let timer: NodeJS.Timeout | undefined;
	let number = 0;
	let nextPeer = 0;
	let sentAt = Number.NEGATIVE_INFINITY;

	const isAway = (heard: HeardReport): boolean => performance.now() - heard.heardAt > options.silenceMs;

	const learn = (daemon: string, peerAddress: string): void => {
		if (daemon !== name) {
			addresses.set(daemon, {address: peerAddress, learntAt: performance.now()});
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

		if (known?.report.incarnation !== report.incarnation || isAway(known)) {
			log.info('Peer is heard.', {peer: report.daemon, incarnation: report.incarnation, ms: known && Math.round(performance.now() - known.heardAt)});
		}

		reports.set(report.daemon, {report, heardAt: performance.now()});
		learn(report.daemon, report.address);
		if (report.isLeaving) {
			reports.delete(report.daemon);
			addresses.delete(report.daemon);
			log.info('Peer leaves.', {peer: report.daemon});
		}

		options.onReport(report);
	};

	const send = async (isLeaving: boolean): Promise<void> => {
		if (transport === undefined) {
			return;
		}

		number++;
		sentAt = performance.now();
		const report: PeerReport = {
			daemon: name, incarnation, number, address, isLeaving, ...options.compose(),
		};
		const content = encodeReport(report);
		const peers = [...addresses.values()];
		const count = isLeaving ? peers.length : Math.min(peers.length, maxPeersPerRound);
		const sends: Array<Promise<void>> = [];
		for (let index = 0; index < count; index++) {
			sends.push(transport.send(content, peers[(nextPeer + index) % peers.length].address));
		}

		nextPeer = peers.length === 0 ? 0 : (nextPeer + count) % peers.length;
		await Promise.all(sends);
	};

	const forgetOld = (): void => {
		const now = performance.now();
		for (const [daemon, {learntAt}] of addresses) {
			const heardAt = reports.get(daemon)?.heardAt ?? learntAt;
			if (now - Math.max(heardAt, learntAt) > forgetMs) {
				addresses.delete(daemon);
				reports.delete(daemon);
			}
		}
	};

	return {
		async start() {
			transport = await (options.openTransport ?? openUdpTransport)({bind: options.bind, onDatagram: receive, log});
			timer = setInterval(() => {
				forgetOld();
				void send(false);
			}, options.everyMs);
		},
		learn,
		live: () => [...reports.values()].filter(heard => !isAway(heard)),
		known: () => reports,
		async leave() {
			clearInterval(timer);
			if (transport === undefined) {
				return;
			}

			// Closing the transport before the send completes would drop the last report, and peers
			// would count this daemon's load until it times out.
			await send(true);
			const closing = transport;
			transport = undefined;
			await closing.close();
		},
		sendNow() {
			void send(false);
		},
		sendSoon() {
			if (performance.now() - sentAt >= minPauseMs) {
				void send(false);
			}
		},
	};
}
