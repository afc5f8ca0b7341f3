/** Checks whether anything listens at an address. */
import {connect} from 'node:net';
import {isSocketAddress} from '../fleet/socket-address.js';

/** What became of an attempt to connect. */
export type ConnectionState = 'accepted' | 'refused' | 'silent';

/** Connects to IP:PORT and closes the connection at once; `silent` if nothing answers within the limit, or the address is invalid. */
export async function checkConnection(address: string, limitMs: number): Promise<ConnectionState> {
	if (!isSocketAddress(address)) {
		return 'silent';
	}

	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = connect({host, port: Number(port), timeout: limitMs});
		const finish = (state: ConnectionState): void => {
			socket.destroy();
			resolve(state);
		};

		socket.on('connect', () => {
			finish('accepted');
		});
		socket.on('timeout', () => {
			finish('silent');
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			finish(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
		});
	});
}
