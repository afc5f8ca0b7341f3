/** In-memory links between daemons, driven by timers; messages can be delayed, lost or duplicated. */
import {dispatch} from '../../lib/links/dispatch.js';
import {type PeerBody, type PeerHandlers, type SendToPeer} from '../../lib/links/peer-link.js';

export type FakeLinks = {
	/** Adds a daemon; handlers may be added later. */
	join: (name: string, incarnation?: bigint) => {send: SendToPeer; handle: (handlers: PeerHandlers) => void};
	leave: (name: string) => void;
	messages: number;
};

export type FakeLinksOptions = {
	/** Delays in milliseconds after which copies of a message arrive: an empty list loses it, two delays duplicate it. */
	route?: (from: string, to: string) => readonly number[];
};

const defaultDelaysMs = [2];

export function createFakeLinks(options: FakeLinksOptions = {}): FakeLinks {
	const handlers = new Map<string, PeerHandlers[]>();
	const links: FakeLinks = {
		messages: 0,
		join(name, incarnation = 1n) {
			const joinedHandlers: PeerHandlers[] = [];
			handlers.set(name, joinedHandlers);
			return {
				send(to, body) {
					links.messages++;
					for (const delay of options.route?.(name, to) ?? defaultDelaysMs) {
						setTimeout(() => {
							deliver(to, body);
						}, delay);
					}
				},
				handle(added) {
					joinedHandlers.push(added);
				},
			};

			function deliver(to: string, body: PeerBody) {
				for (const target of handlers.get(to) ?? []) {
					dispatch(target, {name, incarnation}, body);
				}
			}
		},
		leave(name) {
			handlers.delete(name);
		},
	};
	return links;
}
