/** Slopes of links between daemons: real streams on loopback, in real time. */
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {type PeerBody} from 'hickorywalk/links.js';
import {createLinkStar, type LinkStar} from '../bench/link-star.js';
import {doublings, type SlopeDefinition} from './measure.js';

const role = 'links';
const sizes = doublings(4);
const warmUpMs = 1200;
const seconds = 3;

const head: PeerBody = {case: 'configurationHead', value: {$typeName: 'hickorywalk.v1.ConfigurationHead', version: 7n, ageMs: 20}};

async function connect(links: number): Promise<LinkStar> {
	const {hub, spokes} = await createLinkStar(links);
	exchange({hub, spokes});
	await pause(warmUpMs);
	return {hub, spokes};
}

function exchange({hub, spokes}: LinkStar): void {
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
