/** Links in memory on the runtime's clock: messages can be late, lost and doubled. */
import {dispatch} from '../../lib/links/dispatch.js';
import {type PeerBody, type PeerHandlers, type SendToPeer} from '../../lib/links/peer-link.js';

export type FakeLinks = {
	/** Joins a daemon; its handlers may be set later. */
	join: (name: string, incarnation?: bigint) => {send: SendToPeer; handle: (handlers: PeerHandlers) => void};
	leave: (name: string) => void;
	messages: number;
};

export type FakeLinksOptions = {
	/** Delays in milliseconds after which a message arrives; none when it is lost, two when it is doubled. */
	route?: (from: string, to: string) => readonly number[];
};

const usualDelay = [2];

export function createFakeLinks(options: FakeLinksOptions = {}): FakeLinks {
	const handlers = new Map<string, PeerHandlers[]>();
	const links: FakeLinks = {
		messages: 0,
		join(name, incarnation = 1n) {
			const own: PeerHandlers[] = [];
			handlers.set(name, own);
			return {
				send(to, body) {
					links.messages++;
					for (const delay of options.route?.(name, to) ?? usualDelay) {
						setTimeout(() => {
							deliver(to, body);
						}, delay);
					}
				},
				handle(added) {
					own.push(added);
				},
			};

			function deliver(to: string, body: PeerBody) {
				for (const one of handlers.get(to) ?? []) {
					dispatch(one, {name, incarnation}, body);
				}
			}
		},
		leave(name) {
			handlers.delete(name);
		},
	};
	return links;
}
