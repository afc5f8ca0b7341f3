import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {assert} from 'chai';
import {createUndiciTransport} from '../../orders.js';
import {maxLagMs} from '../../time.js';
import {block} from '../block.js';

async function listen(): Promise<{server: Server; port: number}> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {server, port: (server.address() as AddressInfo).port};
}

describe('a connection to an endpoint that comes about after a long turn', () => {
	it('carries its request once the end of the caller\'s connection would have been read', async () => {
		// Guards against requests whose callers leave while a late process connects to the endpoint.
		const entry = await listen();
		const endpoint = await listen();
		const transport = createUndiciTransport();
		const caller = connect(entry.port, '127.0.0.1');
		const [callerSocket] = await once(entry.server, 'connection') as [Socket];
		callerSocket.resume();
		const hasLeft = new Promise<boolean>(resolve => {
			transport.send({
				endpoint: {name: 'e1', address: `http://127.0.0.1:${endpoint.port}`}, method: 'GET', path: '/', headers: [], dedicatedConnection: true,
			}, {
				beforeSend() {
					resolve(callerSocket.readableEnded);
					return false;
				},
				progress: () => undefined,
				head: () => undefined,
				data: () => undefined,
				end: () => undefined,
				failed: () => undefined,
			});
		});
		// The transport begins to connect in this turn.
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		caller.write('bytes before the end');
		caller.destroy();
		block(maxLagMs * 2);
		assert.isTrue(await hasLeft);
		await transport.close();
		entry.server.close();
		endpoint.server.close();
	});
});
