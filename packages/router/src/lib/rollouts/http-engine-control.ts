/** HTTP implementation of `EngineControl`; docs/engine-api.md specifies the format. */
import {Agent, request} from 'undici';
import {EndpointRefusedError} from '../endpoints/endpoint-errors.js';
import {type EngineProbe} from '../endpoints/engine-probe.js';
import {type EngineControl} from './engine-control.js';

const statusOk = 200;
const statusAccepted = 202;

/** Creates the client. Each order opens a new connection, since a reused one may be dead without an error. */
export function createHttpEngineControl(options: {probe: EngineProbe['probe']; timeoutMs: number}): EngineControl & {close: () => Promise<void>} {
	const agent = new Agent({pipelining: 0, connect: {timeout: options.timeoutMs}});
	return {
		async weights(address) {
			const {version, ready} = await options.probe(address);
			return {version, loading: !ready};
		},
		async order(address, {fencing, model, version}) {
			const res = await request(new URL('/engine/orders', address), {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					fencing, action: 'load', model, version,
				}),
				dispatcher: agent,
				signal: AbortSignal.timeout(options.timeoutMs),
			});
			await res.body.dump();
			if (res.statusCode !== statusOk && res.statusCode !== statusAccepted) {
				throw new EndpointRefusedError(`${address} answered ${res.statusCode} to an order with fencing token ${fencing}.`, res.statusCode);
			}
		},
		async close() {
			await agent.destroy();
		},
	};
}
