/**
 * Measures the cost of membership per daemon at 9, 65 and 650 daemons, all in
 * this process over in-memory links on a fake clock. Bytes are those of the
 * real encoding; processor time is that of the membership code, without the
 * streams (see the `links` benchmark). Prints JSON lines.
 *
 * `slope` is the growth of bytes per daemon and second for each added daemon.
 */
import process from 'node:process';
import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {
	bodySize, dispatch, type PeerBody, type PeerHandlers,
} from 'hickorywalk/links.js';
import {createMembership, type Membership, Phase} from 'hickorywalk/membership.js';
import {type VmEntry} from 'hickorywalk/platform.js';

export type Size = {daemons: number; dataCentres: number};
type Figures = {bytes: number; messages: number; listReads: number};
type Fleet = {memberships: Membership[]; figures: Figures; neighbours: () => number};

const sizes: readonly Size[] = [{daemons: 9, dataCentres: 4}, {daemons: 65, dataCentres: 6}, {daemons: 650, dataCentres: 23}];
const linkDelayMs = 2;
const warmUpMs = 15_000;
const seconds = 10;
const longestWaitMs = 30_000;

export async function runMembershipBench(): Promise<void> {
	const cpuUsage = process.cpuUsage.bind(process);
	let before: {daemons: number; bytes: number} | undefined;
	for (const size of sizes) {
		const clock = FakeTimers.install();
		const result = await measureMembership(size, clock, cpuUsage);
		clock.uninstall();
		const bytes = result.bytes_per_daemon_per_s;
		const slope = before === undefined ? undefined : (bytes - before.bytes) / (size.daemons - before.daemons);
		before = {daemons: size.daemons, bytes};
		console.log(JSON.stringify({...result, slope}));
	}
}

export async function measureMembership(size: Size, clock: Clock, cpuUsage: typeof process.cpuUsage) {
	const fleet = createFleet(size);
	for (const membership of fleet.memberships) {
		await membership.start();
		membership.setPhase(Phase.READY);
		await clock.tickAsync(Math.ceil(1000 / size.daemons));
	}

	await clock.tickAsync(warmUpMs);
	const before = {...fleet.figures};
	const cpuBefore = cpuUsage();
	await clock.tickAsync(seconds * 1000);
	const cpu = cpuUsage(cpuBefore);
	const after = {...fleet.figures};
	const perDaemonAndSecond = (total: number) => total / size.daemons / seconds;
	const heard = fleet.memberships.map(membership => membership.reach().heard);
	const change = await measureLeavingPropagation(fleet, clock);
	for (const membership of fleet.memberships) {
		membership.stop();
	}

	return {
		daemons: size.daemons,
		bytes_per_daemon_per_s: perDaemonAndSecond(after.bytes - before.bytes),
		messages_per_daemon_per_s: perDaemonAndSecond(after.messages - before.messages),
		cpu_share: perDaemonAndSecond((cpu.user + cpu.system) / 1e6),
		list_reads_per_s: (after.listReads - before.listReads) / seconds,
		links_mean: fleet.neighbours() / size.daemons,
		least_heard: Math.min(...heard),
		leaving_known_everywhere_ms: change,
	};
}

/** Milliseconds until every daemon knows that the last one is leaving; `longestWaitMs` when some never learn it. */
async function measureLeavingPropagation(fleet: Fleet, clock: Clock): Promise<number> {
	const last = fleet.memberships.at(-1);
	const name = `vm-${fleet.memberships.length - 1}`;
	last?.setPhase(Phase.LEAVING);
	let waitedMs = 0;
	while (waitedMs < longestWaitMs && fleet.memberships.some(membership => membership.member(name)?.status !== 'leaving')) {
		await clock.tickAsync(50);
		waitedMs += 50;
	}

	return waitedMs;
}

function createFleet(size: Size): Fleet {
	const figures: Figures = {bytes: 0, messages: 0, listReads: 0};
	const handlers = new Map<string, PeerHandlers>();
	const pairs = new Set<string>();
	const vms = Array.from({length: size.daemons}, (_, index): VmEntry => ({
		name: `vm-${index}`, role: 'entry', dataCentre: `dc-${index % size.dataCentres}`, address: `10.0.${Math.floor(index / 250)}.${index % 250}:7100`, state: 'live',
	}));
	const sendFrom = (from: string) => (to: string, body: PeerBody) => {
		figures.bytes += bodySize(body);
		figures.messages++;
		pairs.add(`${from} ${to}`);
		setTimeout(() => {
			dispatch(handlers.get(to) ?? {}, {name: from, incarnation: 1n}, body);
		}, linkDelayMs);
	};

	const memberships = vms.map(vm => {
		const membership = createMembership({
			self: {
				name: vm.name, incarnation: 1_700_000_000_000n, dataCentre: vm.dataCentre, peerAddress: vm.address,
			},
			vms: {
				async read() {
					figures.listReads++;
					return {version: 1, vms};
				},
			},
			send: sendFrom(vm.name),
			setPeers() {
				// In-memory links reach every daemon by its name.
			},
			peerAddressOf: entry => entry.address,
			configurationVersion: () => 4711,
		});
		handlers.set(vm.name, membership.handlers);
		return membership;
	});
	return {memberships, figures, neighbours: () => pairs.size};
}
