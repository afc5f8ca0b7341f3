/**
 * Which weights version a request asks for while a service changes from one to
 * another. The first replica with the new weights must not get all requests,
 * nor must requests fail until it is ready: workspaces move over one by one, in
 * step with the share of replicas that are ready.
 */
import {createHash} from 'node:crypto';

/** How many replicas of each version of a service are ready; absent while nothing is known. */
export type ReadyVersions = ReadonlyMap<string, number>;

const hashRange = 0x1_00_00_00_00;
const hashBytes = 4;

/** Where a workspace stands in the order of moving over, from 0 to 1. */
function placeOf(workspace: string, service: string): number {
	return createHash('sha256').update(`${service}/${workspace}`).digest().readUIntBE(0, hashBytes) / hashRange;
}

/**
 * Chooses the version for one workspace. Its cached prompts move with it once,
 * since its place in the order does not change.
 *
 * @example
 * chooseVersion({service: 'wordsmith', version: 'w2'}, 'school-1', new Map([['w1', 9], ['w2', 3]]));
 */
export function chooseVersion(service: {name: string; version: string}, workspace: string, ready: ReadyVersions): string {
	let total = 0;
	let other = service.version;
	let mostOther = 0;
	for (const [version, count] of ready) {
		total += count;
		if (version !== service.version && count > mostOther) {
			other = version;
			mostOther = count;
		}
	}

	const wanted = ready.get(service.version) ?? 0;
	if (total === 0 || mostOther === 0 || wanted === total) {
		return service.version;
	}

	return placeOf(workspace, service.name) < wanted / total ? service.version : other;
}
