/** Slopes of heartbeats, over fleets in one process on the paused clock. */
import process from 'node:process';
import FakeTimers from '@sinonjs/fake-timers';
import {measureMembership} from '../bench/membership-bench.js';
import {doublings, type SlopeDefinition} from './measure.js';
import {perDaemon} from './target-size.js';

const role = 'heartbeats';
const sizes = doublings(20);

/** Each size is run once; both slopes read it. */
const runs = new Map<number, ReturnType<typeof measureMembership>>();

async function runFleet(daemons: number): ReturnType<typeof measureMembership> {
	const cpuUsage = process.cpuUsage.bind(process);
	const clock = FakeTimers.install();
	try {
		return await measureMembership({daemons, dataCentres: Math.ceil(daemons / perDaemon.daemonsOfDataCentre)}, clock, cpuUsage);
	} finally {
		clock.uninstall();
	}
}

async function measureOnce(daemons: number): ReturnType<typeof measureMembership> {
	let run = runs.get(daemons);
	if (run === undefined) {
		run = runFleet(daemons);
		runs.set(daemons, run);
	}

	return run;
}

export const membershipSlopes: SlopeDefinition[] = [
	{
		role,
		cost: 'messages of one daemon in a second',
		per: 'daemon of the fleet',
		unit: 'bytes',
		sizes,
		async measure(size) {
			const result = await measureOnce(size);
			return {kind: 'value', value: result.bytes_per_daemon_per_s};
		},
	},
	{
		role,
		cost: 'work of one daemon in a second',
		per: 'daemon of the fleet',
		unit: 'us',
		sizes,
		async measure(size) {
			const result = await measureOnce(size);
			return {kind: 'value', value: result.cpu_share * 1e6};
		},
	},
];
