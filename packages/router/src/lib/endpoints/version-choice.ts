/**
 * Chooses the weights version of a request during a rollout. The first replica
 * with the new weights must not get all requests, and requests must not fail
 * until it is ready: workspaces move to the new version one by one, in proportion
 * to the share of replicas that are ready with it.
 */
import {createHash} from 'node:crypto';

/** Number of ready replicas of a service by version; a version without a known one is absent. */
export type ReadyVersions = ReadonlyMap<string, number>;

const hashRange = 0x1_00_00_00_00;
const hashBytes = 4;

/** Position of a workspace in the order of the rollout, from 0 to 1. */
function rolloutPosition(workspace: string, service: string): number {
	return createHash('sha256').update(`${service}/${workspace}`).digest().readUIntBE(0, hashBytes) / hashRange;
}

/**
 * Chooses the version for one workspace. The position of a workspace is fixed, so
 * it moves only once and its prompts are cached anew only once.
 *
 * @example
 * chooseVersion({service: 'wordsmith', version: 'w2'}, 'school-1', new Map([['w1', 9], ['w2', 3]]));
 */
export function chooseVersion(service: {name: string; version: string}, workspace: string, ready: ReadyVersions): string {
	let total = 0;
	let otherVersion = service.version;
	let otherCount = 0;
	for (const [version, count] of ready) {
		total += count;
		if (version !== service.version && count > otherCount) {
			otherVersion = version;
			otherCount = count;
		}
	}

	const targetCount = ready.get(service.version) ?? 0;
	if (total === 0 || otherCount === 0 || targetCount === total) {
		return service.version;
	}

	return rolloutPosition(workspace, service.name) < targetCount / total ? service.version : otherVersion;
}
