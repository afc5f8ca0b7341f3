/** Checks whether anything listens at an address. */
import {connect} from 'node:net';

/** What became of an attempt to connect. */
export type ConnectionState = 'accepted' | 'refused' | 'silent';

/** Connects to IP:PORT and closes the connection at once; `silent` if nothing answers within the limit. */
export async function checkConnection(address: string, limitMs: number): Promise<ConnectionState> {
	const {hostname, port} = new URL(`tcp://${address}`);
	return new Promise(resolve => {
		const socket = connect({host: hostname, port: Number(port), timeout: limitMs});
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
