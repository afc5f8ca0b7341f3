/** Reads the state that an engine reports. */
import {Agent, request} from 'undici';
import {z} from 'zod';
import {readWhole} from '../buffers/read-whole.js';
import {EndpointBrokenError} from './endpoint-errors.js';
import {type EngineReport} from './endpoint-watch.js';

const stateSchema = z.looseObject({
	incarnation: z.string(),
	version: z.string(),
	loading: z.boolean().default(false),
	running: z.number(),
	waiting: z.number(),
	pendingPromptTokens: z.number(),
});

/** Probes engines for their state. */
export type EngineProbe = {
	probe: (address: string) => Promise<EngineReport>;
	close: () => Promise<void>;
};

/**
 * Creates a probe. Each request uses a new connection: an old one may be dead,
 * and the failure would then be one of the network path, not of the engine.
 */
export function createEngineProbe(options: {timeoutMs: number}): EngineProbe {
	const agent = new Agent({pipelining: 0, connect: {timeout: options.timeoutMs}});
	return {
		async probe(address) {
			try {
				const res = await request(new URL('/engine/state', address), {
					dispatcher: agent, signal: AbortSignal.timeout(options.timeoutMs),
				});
				const body = await readWhole(res.body);
				const state = stateSchema.parse(JSON.parse(body.toString('utf8')));
				return {...state, ready: !state.loading};
			} catch (error) {
				throw new EndpointBrokenError(`${address} did not report its state.`, {cause: error});
			}
		},
		async close() {
			await agent.destroy();
		},
	};
}
