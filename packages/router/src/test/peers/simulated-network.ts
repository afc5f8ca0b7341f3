/** A simulated datagram network on a fake clock, with delay and loss. */
import {type Buffer} from 'node:buffer';
import {createSilentLog} from '../../observability.js';
import {
	createPeerExchange, type OwnReport, type PeerExchange, type PeerReport,
} from '../../peers.js';
import {emptyContents} from './empty-report.js';

/** Options of {@link createSimulatedNetwork}. */
export type SimulatedNetworkOptions = {
	/** Number of daemons; each knows the addresses of all. */
	size: number;
	/** Returns a number in [0, 1). */
	random: () => number;
	/** Whether a datagram passes, apart from random loss. */
	passes?: (from: number, to: number) => boolean;
	/** Fraction of datagrams that are lost. */
	lossRatio?: number;
	/** A clock that all daemons share; without it, they send no bundles. */
	sharedClockMs?: () => number;
	dataCentreOf?: (index: number) => string;
	collectorWeightOf?: (index: number) => number;
	/** Called for each datagram that is sent. */
	onDatagram?: (from: number, to: number, content: Buffer) => void;
};

/** One daemon of the network. */
export type SimulatedDaemon = {
	index: number;
	incarnation?: number;
	/** Report fields that are not empty. */
	contents: () => Partial<OwnReport>;
	takeStreams?: (peer: string) => PeerReport['streams'];
	onReport: (report: PeerReport) => void;
};

const maxDelayMs = 20;
const everyMs = 200;
const minSilenceMs = 1000;

export const nameOf = (index: number): string => `vm-${index}`;

const addressOf = (index: number): string => `${nameOf(index)}:1`;

/** Creates a network; the returned function starts a daemon's exchange. */
export function createSimulatedNetwork({
	size, random, passes = () => true, lossRatio = 1 / 50, sharedClockMs, dataCentreOf = () => 'a', collectorWeightOf = () => 1, onDatagram: onSent,
}: SimulatedNetworkOptions) {
	const receivers = new Map<string, {index: number; onDatagram: (content: Buffer) => void}>();

	return ({index, incarnation = 1, contents, takeStreams, onReport}: SimulatedDaemon): PeerExchange => {
		const exchange = createPeerExchange({
			name: nameOf(index), incarnation, dataCentre: dataCentreOf(index), collectorWeight: collectorWeightOf(index), ...(sharedClockMs && {sharedClockMs}),
			bind: {host: nameOf(index), port: 1}, everyMs, minSilenceMs, onReport, takeStreams,
			compose: () => ({...emptyContents, ...contents()}),
			async openTransport({onDatagram}) {
				receivers.set(addressOf(index), {index, onDatagram});
				return {
					async send(content, address) {
						const receiver = receivers.get(address);
						onSent?.(index, receiver?.index ?? -1, content);
						if (receiver !== undefined && passes(index, receiver.index) && random() >= lossRatio) {
							setTimeout(() => {
								receivers.get(address)?.onDatagram(content);
							}, random() * maxDelayMs);
						}
					},
					async close() {
						receivers.delete(addressOf(index));
					},
				};
			},
			log: createSilentLog(),
		});
		for (let peer = 0; peer < size; peer++) {
			exchange.learn(nameOf(peer), addressOf(peer));
		}

		void exchange.start();
		return exchange;
	};
}
