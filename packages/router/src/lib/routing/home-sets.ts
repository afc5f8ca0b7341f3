/**
 * Computes the homes of a prompt, level by level. The homes of a prefix are a
 * subset of the homes of the shallower prefix around it, ordered by rendezvous
 * hashing; the size of the set follows the prefix's share of requests. A hot
 * shallow prefix thus has many homes and a cold deep one has one of these, and
 * routers that estimate similar shares compute similar sets without
 * communicating.
 *
 * Sizes are fractional: the last home counts in part. A slightly higher estimate
 * of a share then moves only a few of the deeper prefixes, whereas rounded sizes
 * would move the prefixes of a whole home at once.
 */
import {type EngineRecord} from './engine-record.js';
import {type PrefixLevel} from './prefix-levels.js';
import {halvesOf, uniformRankOf} from './rendezvous.js';

/** A set of homes; `lastWeight` is the part by which the last one counts. */
type HomeSet = {
	engines: readonly EngineRecord[];
	lastWeight: number;
};

/** The homes of one prompt. */
export type HomePath = {
	/** Homes to consider, those of the deepest level first. */
	considered: readonly EngineRecord[];
	/** How many of `considered` are homes of the deepest level. */
	deepestCount: number;
	/** Depth down to which these are homes of known levels. */
	deepestDepth: number;
	/** Depth down to which the other `considered` homes are homes of known levels. */
	otherDepth: number;
};

/** Takes the first `size` engines, the last one in part. */
const takeHomes = (engines: readonly EngineRecord[], size: number): HomeSet => {
	const count = Math.min(engines.length, Math.ceil(size));
	return {engines: engines.slice(0, count), lastWeight: Math.min(1, size - count + 1)};
};

/** Orders homes for a prefix by weighted rendezvous hashing and keeps the first `longest`. */
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
  * Narrows the homes level by level, from the shallowest to the deepest.
  * @param root Homes of the shallowest level, in order; those beyond its size are ignored.
  * @param sizes Number of homes of each level; 0 when nothing is known of it.
  * @param longest Maximum number of homes considered, and of homes of a level below the root.
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
		considered: [...deepest, ...others], deepestCount: deepest.length, deepestDepth, otherDepth,
	};
};
