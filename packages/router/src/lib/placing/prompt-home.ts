/**
 * Home engine of a prompt's shared parts, by rendezvous hashing of the deepest shared part.
 * All daemons choose the same home without coordination.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {halvesOf, rankOf, seedOfName} from '../routing/rendezvous.js';
import {type PromptNeed, sharedPartsOf} from './choice-request.js';

/** 64-bit FNV-1a. */
function hashOf(text: string): bigint {
	let hash = 0xCB_F2_9C_E4_84_22_23_25n;
	for (let index = 0; index < text.length; index++) {
		hash = BigInt.asUintN(64, (hash ^ BigInt(text.codePointAt(index)!)) * 0x1_00_00_00_01_B3n); // eslint-disable-line no-bitwise
	}

	return hash;
}

/**
 * Returns the id of the home engine, or `undefined` without shared parts. Takes all live endpoints,
 * since daemons may differ in which of them are eligible.
 */
export type FindHome = (prompt: PromptNeed, endpoints: readonly LiveEndpoint[]) => string | undefined;

/** Creates a look-up that caches the hash seeds of endpoint ids. */
export function createHomeFinder(): FindHome {
	const seeds = new Map<string, number>();

	const seedOf = (id: string): number => {
		let seed = seeds.get(id);
		if (seed === undefined) {
			seed = seedOfName(id);
			seeds.set(id, seed);
		}

		return seed;
	};

	return (prompt, endpoints) => {
		const deepest = sharedPartsOf(prompt).at(-1);
		if (deepest === undefined) {
			return undefined;
		}

		const halves = halvesOf(hashOf(`${prompt.isolationKey} ${deepest.id}`));
		let home: string | undefined;
		let lowest = Number.POSITIVE_INFINITY;
		for (const {id, isLeaving} of endpoints) {
			const rank = isLeaving ? Number.POSITIVE_INFINITY : rankOf(halves, seedOf(id));
			if (rank < lowest) {
				lowest = rank;
				home = id;
			}
		}

		return home;
	};
}
