import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {assert} from 'chai';
import {createGatewayServer, type GatewayServer} from '../../gateway.js';
import {maxLagMs} from '../../time.js';
import {block} from '../block.js';

const request = 'POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}';

describe('createGatewayServer in a process that is late', () => {
	let server: GatewayServer;
	let caller: Socket;
	let handled: number;

	beforeEach(async () => {
		handled = 0;
		server = createGatewayServer({
			models: {
				async handle({raw}) {
					handled++;
					raw.end('done');
				},
				running: 0,
			},
			configuration: () => undefined,
			keyRing: {authenticate: () => undefined},
			isReady: () => true,
			largestBodyBytes: 1000,
			largestHeaderBytes: 1000,
			onFault: () => undefined,
		});
		const {hostname, port} = new URL(await server.listen({host: '127.0.0.1', port: 0}));
		caller = connect(Number(port), hostname);
		caller.write(request);
		await once(caller, 'data');
		assert.equal(handled, 1);
	});

	afterEach(async () => {
		caller.destroy();
		await server.close();
	});

	it('handles no request whose caller has left', async () => {
		// Guards against work that begins since the end of a connection is read later than its request.
		caller.write(request);
		caller.destroy();
		block(maxLagMs * 2);
		await sleep(50);
		assert.equal(handled, 1);
	});

	it('handles the request of a caller that is still there', async () => {
		caller.write(request);
		block(maxLagMs * 2);
		await once(caller, 'data');
		assert.equal(handled, 2);
	});
});
