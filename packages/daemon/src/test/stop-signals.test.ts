import process from 'node:process';
import {createSilentLog} from 'hickorywalk/observability.js';
import {assert} from 'chai';
import {stopAtSignals} from '../lib/stop-signals.js';

const noop = (): void => undefined;
const signals = ['SIGTERM', 'SIGINT'] as const;

describe('stopAtSignals', () => {
	let known: Map<string, NodeJS.SignalsListener[]>;

	beforeEach(() => {
		known = new Map(signals.map(signal => [signal, process.listeners(signal)]));
		for (const signal of signals) {
			process.removeAllListeners(signal);
		}
	});

	afterEach(() => {
		for (const signal of signals) {
			process.removeAllListeners(signal);
			for (const listener of known.get(signal)!) {
				process.on(signal, listener);
			}
		}
	});

	/** Sends both signals twice to a daemon that stops in this way; resolves to the exit code and the number of stops. */
	const stopBy = async (stop: () => Promise<void>): Promise<[number, number]> => {
		let stops = 0;
		const code = await new Promise<number>(exit => {
			stopAtSignals({
				async stop() {
					stops++;
					await stop();
				},
				limitMs: 50, exit, log: createSilentLog(),
			});
			for (const signal of [...signals, ...signals]) {
				process.emit(signal);
			}
		});
		return [code, stops];
	};

	it('stops once, however many signals come', async () => {
		// Guards against responses that are cut because a repeated signal ends the process at once.
		assert.deepEqual(await stopBy(async () => undefined), [0, 1]);
	});

	it('ends a stop that takes longer than its limit', async () => {
		// Guards against a process that a response without end keeps alive.
		assert.deepEqual(await stopBy(async () => new Promise(noop)), [1, 1]);
	});

	it('ends a stop that fails', async () => {
		assert.deepEqual(await stopBy(async () => {
			throw new Error('Thrown by a test.');
		}), [1, 1]);
	});
});
