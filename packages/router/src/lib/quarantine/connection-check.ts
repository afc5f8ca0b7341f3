/** Checks whether anything listens at an address. */
import {connect} from 'node:net';

/** Whether the address refuses connections; false if it accepts one, or doesn't answer within the limit. */
export async function refusesConnections(address: string, limitMs: number): Promise<boolean> {
	const {hostname, port} = new URL(`tcp://${address}`);
	return new Promise(resolve => {
		const socket = connect({host: hostname, port: Number(port), timeout: limitMs});
		const finish = (isRefused: boolean): void => {
			socket.destroy();
			resolve(isRefused);
		};

		socket.on('connect', () => {
			finish(false);
		});
		socket.on('timeout', () => {
			finish(false);
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			finish(error.code === 'ECONNREFUSED');
		});
	});
}
