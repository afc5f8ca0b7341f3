/**
 * The engine at which a prompt's shared parts are kept, worked out alike by all
 * daemons: rendezvous hashing of the deepest shared part.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {halvesOf, rankOf, seedOfName} from '../routing/rendezvous.js';
import {type PromptNeed, sharedPartsOf} from './choice-request.js';

/** 64-bit FNV-1a of a part's id with all that makes its cached copy distinct. */
function hashOf(text: string): bigint {
	let hash = 0xCB_F2_9C_E4_84_22_23_25n;
	for (let index = 0; index < text.length; index++) {
		hash = BigInt.asUintN(64, (hash ^ BigInt(text.codePointAt(index)!)) * 0x1_00_00_00_01_B3n); // eslint-disable-line no-bitwise
	}

	return hash;
}

/** Finds homes among the live endpoints of a service; all of them count, so that it is the same on every daemon. */
export type FindHome = (prompt: PromptNeed, endpoints: readonly LiveEndpoint[]) => string | undefined;

/** Creates a look-up that remembers the seeds of engines' names. */
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

		const halves = halvesOf(hashOf(`${prompt.wall} ${deepest.id}`));
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
