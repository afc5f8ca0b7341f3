/** Helpers for tests of quotas: a workspace, reports of its use, and measures of a simulated load. */
import {type Workspace} from '../../fleet.js';
import {type PeerReport} from '../../peers.js';
import {type FleetQuota} from '../../quotas.js';
import {reportOf} from '../peers/empty-report.js';

/** One request of a simulated load. */
export type SimulatedRequest = {at: number; daemon: number; units: number};

export type SimulationResult = {admitted: SimulatedRequest[]; refused: SimulatedRequest[]};

export const windowMs = 8000;

export const workspace = (rate: number, burst = rate): Workspace => ({
	name: 'school', keyDigests: [], rank: undefined, isIsolated: false, rate, burst, countsTokens: true, defaultUnits: 1,
});

export const report = (daemon: string, quota: FleetQuota, number: number): PeerReport => reportOf(daemon, {number, usage: quota.report()});

/** Maximum number of units admitted in one window. */
export function maxUnitsInWindow(admitted: readonly SimulatedRequest[]): number {
	let most = 0;
	let sum = 0;
	let first = 0;
	for (const asked of admitted) {
		sum += asked.units;
		while (asked.at - admitted[first].at >= windowMs) {
			sum -= admitted[first].units;
			first++;
		}

		most = Math.max(most, sum);
	}

	return most;
}

/** Maximum number of units that the quota allows in one window. */
export const maxAllowedUnits = ({rate, burst}: Workspace, slack: number): number => (((rate * windowMs / 1000) + burst) * 1.1) + slack;

/** Requests that a single bucket for the whole fleet would admit. */
export function admittedByOracle(load: readonly SimulatedRequest[], {rate, burst}: Workspace): SimulatedRequest[] {
	let level = burst;
	let at = 0;
	return load.filter(asked => {
		level = Math.min(burst, level + (rate * (asked.at - at) / 1000));
		at = asked.at;
		const isAdmitted = level >= asked.units;
		level -= isAdmitted ? asked.units : 0;
		return isAdmitted;
	});
}
