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

/** A member of a set of homes. */
type Home = {
	engine: EngineRecord;
	/** 1, or the part in which the last of a set counts. */
	weight: number;
};

/** The homes of one prompt. */
export type HomePath = {
	/** Homes of the deepest level, the first one before the others. */
	deepest: readonly EngineRecord[];
	/** For each home of the root, the depth down to which it is a home of the prompt's known levels. */
	depths: ReadonlyMap<EngineRecord, number>;
};

/** The first `size` of some engines, the last one in part. */
const takeHomes = (engines: readonly EngineRecord[], size: number): Home[] =>
	engines.slice(0, Math.ceil(size)).map((engine, index) => ({engine, weight: Math.min(1, size - index)}));

/** Orders homes for a prefix: weighted rendezvous hashing. */
const orderFor = (homes: readonly Home[], level: PrefixLevel): EngineRecord[] => {
	const halves = halvesOf(level.hash);
	return homes
		.map(({engine, weight}) => ({engine, score: -Math.log(uniformRankOf(halves, engine.seed)) / weight}))
		.toSorted((a, b) => a.score - b.score)
		.map(({engine}) => engine);
};

/** The first of {@link orderFor} without sorting. */
const firstFor = (homes: readonly Home[], level: PrefixLevel): EngineRecord => {
	const halves = halvesOf(level.hash);
	let first = homes[0].engine;
	let least = Number.POSITIVE_INFINITY;
	for (const {engine, weight} of homes) {
		const score = -Math.log(uniformRankOf(halves, engine.seed)) / weight;
		if (score < least) {
			least = score;
			first = engine;
		}
	}

	return first;
};

/**
 * Walks down the levels.
 * @param root Homes of the shallowest level, in order; those behind its size are left out.
 * @param sizes How many homes each level asks for; 0 when nothing is known of it.
 */
export const walkHomes = (root: readonly EngineRecord[], levels: readonly PrefixLevel[], sizes: readonly number[]): HomePath => {
	const depths = new Map<EngineRecord, number>();
	let homes = takeHomes(root, Math.max(1, sizes[0]));
	for (const [index, level] of levels.entries()) {
		const size = Math.max(1, sizes[index]);
		if (size === 1 && homes.length > 1) {
			homes = [{engine: firstFor(homes, level), weight: 1}];
		} else if (Math.ceil(size) < homes.length) {
			homes = takeHomes(orderFor(homes, level), size);
		}

		if (sizes[index] === 0) {
			break;
		}

		for (const {engine} of homes) {
			depths.set(engine, level.depth);
		}
	}

	return {deepest: homes.map(({engine}) => engine), depths};
};
