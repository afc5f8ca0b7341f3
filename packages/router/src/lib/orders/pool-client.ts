import {Client, type Dispatcher} from 'undici';

/**
 * The client of one connection in a pool.
 *
 * Undici's pool takes a client that rejects an invalid request for a busy one, and waits for a drain event that never
 * follows. This client counts as available after such a request.
 */
export class PoolClient extends Client {
	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		return super.dispatch(options, handler) || (!this.closed && !this.destroyed && this.stats.size === 0);
	}
}
