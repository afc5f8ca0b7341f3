/** Sends and receives datagrams between daemons over UDP. */
import {type Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {bindAddress, type BindAddress} from '../sockets/bind-address.js';
import {createLineBudget} from '../observability/line-budget.js';
import {type Log} from '../observability/log.js';

/** An open transport. */
export type DatagramTransport = {
	/** Resolves once the operating system has taken the datagram, or sending it has failed. */
	send: (content: Buffer, address: string) => Promise<void>;
	close: () => Promise<void>;
};

/** Options of {@link openUdpTransport}. */
export type DatagramTransportOptions = {
	bind: BindAddress;
	onDatagram: (content: Buffer) => void;
	log: Log;
};

/** Binds a transport. */
export type OpenDatagramTransport = (options: DatagramTransportOptions) => Promise<DatagramTransport>;

const faultLinesPerSecond = 2;
const sendLinesPerSecond = 32;

/** Binds one socket; a socket whose binding failed can't be bound again. */
async function bindSocket({host, port}: BindAddress): Promise<Socket> {
	const socket = createSocket('udp4');
	return new Promise((resolve, reject) => {
		socket.once('error', error => {
			socket.close();
			reject(error);
		});
		socket.bind(port, host, () => {
			socket.removeAllListeners('error');
			resolve(socket);
		});
	});
}

/** Binds a UDP socket once the address is available. Throws `BindError`. */
export const openUdpTransport: OpenDatagramTransport = async ({bind, onDatagram, log}) => {
	const socket = await bindAddress(bind, async () => bindSocket(bind), {log});
	socket.on('error', error => {
		log.warn('UDP socket for peer reports failed.', {err: error});
	});
	const lineBudget = createLineBudget({perSecond: {send: sendLinesPerSecond, other: faultLinesPerSecond}});
	socket.on('message', content => {
		try {
			onDatagram(content);
		} catch (error) {
			if (lineBudget.take('handler')) {
				log.error('Handler of a datagram threw an error.', {bytes: content.length, err: error});
			}
		}
	});

	return {
		async send(content, address) {
			const [host, port] = address.split(':');
			return new Promise(resolve => {
				const finish = (error: unknown): void => {
					if (error !== null && lineBudget.take('send')) {
						log.warn('Report could not be sent to a peer.', {peer: host, err: error});
					}

					resolve();
				};

				try {
					socket.send(content, Number(port), host, finish);
				} catch (error) {
					// Peers state their addresses themselves, and one without a valid port throws at once.
					finish(error);
				}
			});
		},
		async close() {
			await new Promise<void>(resolve => {
				socket.close(resolve);
			});
		},
	};
};
