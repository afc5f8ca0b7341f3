/** Connects several daemons to one over real links, for benchmarks. */
import {createPeerNetwork, type PeerNetwork} from 'hickorywalk/links.js';

const secret = 'a secret for the benchmark';

/** One daemon and the daemons that connect to it. */
export type LinkStar = {hub: PeerNetwork; spokes: PeerNetwork[]};

/** Starts a hub and one daemon per link; each link opens with its first message. */
export async function createLinkStar(links: number): Promise<LinkStar> {
	const hub = createPeerNetwork({name: 'hub', incarnation: 1n, secret});
	const port = await hub.listen({host: '127.0.0.1', port: 0});
	const spokes = Array.from({length: links}, (_, index) => {
		const spoke = createPeerNetwork({name: `vm-${index}`, incarnation: 1n, secret});
		spoke.setPeers([{name: 'hub', address: `127.0.0.1:${port}`}]);
		return spoke;
	});
	return {hub, spokes};
}
