/** Binds sockets to addresses that may be taken for a while. */
import {LayerError} from '../errors/layer-error.js';

/** Address and port that a server binds to; port 0 picks a free one. */
export type BindAddress = {host: string; port: number};

/** A server can't listen; the message names the address. */
export class BindError extends LayerError {
	readonly code = 'bind';
}

/** The part of a log that is used. */
type BindLog = Record<'info' | 'warn', (sentence: string, context: {address: string; ms: number; err?: unknown}) => void>;

/** Options of {@link bindAddress}. */
export type BindOptions = {
	log?: BindLog | undefined;
	/** Time after which the address counts as unavailable for good. */
	giveUpMs?: number;
};

const firstPauseMs = 50;
const maxPauseMs = 1000;
const repeatLogMs = 10_000;
const defaultGiveUpMs = 60_000;

/** A port may be held by an outgoing connection or a process that is about to end, and an address may be assigned late. */
const transientCodes: ReadonlySet<unknown> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/**
 * Calls `bind` until the address is available.
 * @throws {BindError} at any other failure, and once the time to wait is over.
 */
export async function bindAddress<Bound>(
	{host, port}: BindAddress,
	bind: () => Promise<Bound>,
	{log, giveUpMs = defaultGiveUpMs}: BindOptions = {},
): Promise<Bound> {
	const address = `${host}:${port}`;
	const startedAt = performance.now();
	let nextLogMs = 0;
	for (let pauseMs = firstPauseMs; ; pauseMs = Math.min(pauseMs * 2, maxPauseMs)) {
		try {
			const bound = await bind();
			if (nextLogMs > 0) {
				log?.info('Address is available now.', {address, ms: Math.round(performance.now() - startedAt)});
			}

			return bound;
		} catch (error) {
			const code = error instanceof Error && 'code' in error ? error.code : undefined;
			const waitedMs = performance.now() - startedAt;
			if (!transientCodes.has(code) || waitedMs >= giveUpMs) {
				throw new BindError(`Can't listen at ${address}: ${String(code ?? error)}.`, {cause: error});
			}

			if (waitedMs >= nextLogMs) {
				nextLogMs = waitedMs + repeatLogMs;
				log?.warn('Address is not available; trying again.', {address, err: error, ms: Math.round(waitedMs)});
			}
		}

		await new Promise<void>(resolve => {
			setTimeout(resolve, pauseMs);
		});
	}
}
