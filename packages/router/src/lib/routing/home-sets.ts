/**
 * Where a prompt belongs, level by level. Each prefix has a set of homes inside
 * the set of the shallower prefix around it, ordered by rendezvous hashing; the
 * set is as large as the prefix's share of the requests asks for. So a hot
 * shallow prefix has many homes, a cold deep one has one of these, and routers
 * that see like shares compute like sets without a word between them.
 *
 * Sizes are fractions: the last home counts in part. A router whose estimate of
 * a share is a little higher then moves only that little of the deeper
 * prefixes, where rounded sizes would move a whole home's part at a time.
 */
import {type EngineRecord} from './engine-record.js';
import {type PrefixLevel} from './prefix-levels.js';
import {halvesOf, uniformRankOf} from './rendezvous.js';

/** A set of homes; the last of them counts in part. */
type HomeSet = {
	engines: readonly EngineRecord[];
	lastWeight: number;
};

/** The homes of one prompt. */
export type HomePath = {
	/** Homes worth looking at, those of the deepest level first. */
	considered: readonly EngineRecord[];
	/** How many of these are homes of the deepest level. */
	deepest: number;
	/** Depth down to which these are homes of levels that are known. */
	deepestDepth: number;
	/** Depth down to which the others are. */
	otherDepth: number;
};

/** The first `size` of some engines, the last one in part. */
const takeHomes = (engines: readonly EngineRecord[], size: number): HomeSet => {
	const count = Math.min(engines.length, Math.ceil(size));
	return {engines: engines.slice(0, count), lastWeight: Math.min(1, size - count + 1)};
};

/** Orders homes for a prefix by weighted rendezvous hashing and keeps the first of them. */
const orderFor = ({engines, lastWeight}: HomeSet, level: PrefixLevel, longest: number): EngineRecord[] => {
	const halves = halvesOf(level.hash);
	const scores: number[] = [];
	const first: EngineRecord[] = [];
	for (const [index, engine] of engines.entries()) {
		const score = -Math.log(uniformRankOf(halves, engine.seed)) / (index === engines.length - 1 ? lastWeight : 1);
		let place = first.length;
		if (place === longest) {
			place--;
			if (score >= scores[place]) {
				continue;
			}
		}

		while (place > 0 && scores[place - 1] > score) {
			scores[place] = scores[place - 1];
			first[place] = first[place - 1];
			place--;
		}

		scores[place] = score;
		first[place] = engine;
	}

	return first;
};

/**
 * Walks down the levels.
 * @param root Homes of the shallowest level, in order; those behind its size are left out.
 * @param sizes How many homes each level asks for; 0 when nothing is known of it.
 * @param longest Most homes that are considered, and most of a level below the root.
 */
export const walkHomes = (root: readonly EngineRecord[], levels: readonly PrefixLevel[], sizes: readonly number[], longest: number): HomePath => {
	let homes = takeHomes(root, Math.max(1, sizes[0]));
	let considered: readonly EngineRecord[] | undefined;
	let deepestDepth = 0;
	let otherDepth = 0;
	for (const [index, level] of levels.entries()) {
		const size = Math.max(1, sizes[index]);
		if (Math.ceil(size) < homes.engines.length) {
			const ordered = orderFor(homes, level, longest);
			homes = takeHomes(ordered, size);
			if (considered === undefined) {
				considered = ordered;
				otherDepth = deepestDepth;
			}
		}

		if (sizes[index] === 0) {
			break;
		}

		deepestDepth = level.depth;
	}

	const deepest = homes.engines.slice(0, longest);
	const others = considered?.filter(engine => !deepest.includes(engine)) ?? [];
	return {
		considered: [...deepest, ...others], deepest: deepest.length, deepestDepth, otherDepth,
	};
};
