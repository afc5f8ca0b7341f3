/** Real links between one daemon and others, for measurements. */
import {createPeerNetwork, type PeerNetwork} from 'hickorywalk/links.js';

const secret = 'a secret for the benchmark';

/** One daemon and those that dial it. */
export type LinkStar = {hub: PeerNetwork; spokes: PeerNetwork[]};

/** Starts so many daemons around one; links open with the first message. */
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
