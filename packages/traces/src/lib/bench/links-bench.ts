/**
 * Measures the processor time of links between daemons: real streams on
 * loopback with both ends in this process, one and ten messages a second each
 * way on each link, compared with links that carry only pings. Prints JSON
 * lines; each number of links takes about 20 s of real time.
 */
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {type PeerBody, type PeerNetwork} from 'hickorywalk/links.js';
import {createLinkStar, type LinkStar} from './link-star.js';

const linkCounts = [10, 30, 60] as const;
const seconds = 6;
const warmUpMs = 1500;
const messagesPerSecond = 10;

export async function runLinksBench(): Promise<void> {
	for (const links of linkCounts) {
		console.log(JSON.stringify(await measure(links)));
	}
}

async function measure(links: number): Promise<Record<string, number>> {
	const {hub, spokes} = await connect(links);
	await pause(warmUpMs);
	const idleMs = await cpuMsPerSecond(() => undefined);
	const once = await cpuMsPerSecond(() => {
		exchange(hub, spokes);
	}, 1);
	const often = await cpuMsPerSecond(() => {
		exchange(hub, spokes);
	}, messagesPerSecond);
	await Promise.all([hub, ...spokes].map(async network => network.close()));
	// Each exchange sends one batch each way on each link, in addition to the pings.
	return {
		links,
		idle_ms_per_s: idleMs,
		idle_ms_per_link_end_and_s: idleMs / (2 * links),
		one_message_ms_per_link_end_and_s: once / (2 * links),
		ten_messages_ms_per_link_end_and_s: often / (2 * links),
		ms_per_message: (often - idleMs) / (2 * links * messagesPerSecond),
	};
}

async function connect(links: number): Promise<LinkStar> {
	const {hub, spokes} = await createLinkStar(links);
	exchange(hub, spokes);
	return {hub, spokes};
}

function exchange(hub: PeerNetwork, spokes: PeerNetwork[]): void {
	for (const [index, spoke] of spokes.entries()) {
		spoke.send('hub', sampleMessage());
		hub.send(`vm-${index}`, sampleMessage());
	}
}

function sampleMessage(): PeerBody {
	return {case: 'configurationHead', value: {$typeName: 'hickorywalk.v1.ConfigurationHead', version: 7n, ageMs: 20}};
}

async function cpuMsPerSecond(act: () => void, perSecond = 1): Promise<number> {
	const before = process.cpuUsage();
	for (let step = 0; step < seconds * perSecond; step++) {
		act();
		await pause(1000 / perSecond);
	}

	const used = process.cpuUsage(before);
	return (used.user + used.system) / 1000 / seconds;
}
