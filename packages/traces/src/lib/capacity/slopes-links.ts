/** Slopes of links between daemons: real streams on loopback, in real time. */
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {createPeerNetwork, type PeerBody, type PeerNetwork} from 'hickorywalk/links.js';
import {doublings, type SlopeDefinition} from './measure.js';

const role = 'links';
const secret = 'a secret for the benchmark';
const sizes = doublings(4);
const warmUpMs = 1200;
const seconds = 3;

const head: PeerBody = {case: 'configurationHead', value: {$typeName: 'hickorywalk.v1.ConfigurationHead', version: 7n, ageMs: 20}};

type Star = {hub: PeerNetwork; spokes: PeerNetwork[]};

async function connect(links: number): Promise<Star> {
	const hub = createPeerNetwork({name: 'hub', incarnation: 1n, secret});
	const port = await hub.listen({host: '127.0.0.1', port: 0});
	const spokes = Array.from({length: links}, (_, index) => {
		const spoke = createPeerNetwork({name: `vm-${index}`, incarnation: 1n, secret});
		spoke.setPeers([{name: 'hub', address: `127.0.0.1:${port}`}]);
		return spoke;
	});
	exchange({hub, spokes});
	await pause(warmUpMs);
	return {hub, spokes};
}

function exchange({hub, spokes}: Star): void {
	for (const [index, spoke] of spokes.entries()) {
		spoke.send('hub', head);
		hub.send(`vm-${index}`, head);
	}
}

/** Processor time of one end in each second, in microseconds; both ends are in this process. */
async function measureEnd(links: number, isBusy: boolean): Promise<number> {
	const star = await connect(links);
	const before = process.cpuUsage();
	for (let second = 0; second < seconds; second++) {
		if (isBusy) {
			exchange(star);
		}

		await pause(1000);
	}

	const {user, system} = process.cpuUsage(before);
	await Promise.all([star.hub, ...star.spokes].map(async network => network.close()));
	return (user + system) / seconds / 2;
}

export const linkSlopes: SlopeDefinition[] = [
	{
		role,
		cost: 'one end of a link in a second, pings only',
		per: 'link',
		unit: 'us',
		sizes,
		measure: async size => ({kind: 'value', value: await measureEnd(size, false)}),
	},
	{
		role,
		cost: 'one end of a link in a second, one message each way',
		per: 'link',
		unit: 'us',
		sizes,
		measure: async size => ({kind: 'value', value: await measureEnd(size, true)}),
	},
];
