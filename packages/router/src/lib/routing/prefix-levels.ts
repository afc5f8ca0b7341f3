/**
 * Which pieces of a prompt are looked at. Prompts share prefixes at few depths,
 * unknown beforehand; a long record has a hundred pieces and more. Depths that
 * grow by about a third at each step keep both the work for a decision and the
 * memory small, and lose at most a quarter of a shared prefix to rounding.
 */

/** A prefix of a prompt: its hash and how many pieces it has. */
export type PrefixLevel = {
	hash: bigint;
	depth: number;
};

const depthsUpTo = (longest: number): number[] => {
	const depths: number[] = [];
	for (let depth = 1; depth <= longest; depth = Math.max(depth + 1, Math.floor(depth * 4 / 3))) {
		depths.push(depth);
	}

	return depths;
};

/** Prompts of more pieces than this are cut for placement only. */
const longestPrompt = 4096;
const depths = depthsUpTo(longestPrompt);

/** The levels of a prompt, shallow to deep; the deepest piece is always one. */
export const levelsOf = (pieces: readonly bigint[]): PrefixLevel[] => {
	const levels: PrefixLevel[] = [];
	for (const depth of depths) {
		if (depth >= pieces.length) {
			break;
		}

		levels.push({hash: pieces[depth - 1], depth});
	}

	if (pieces.length > 0) {
		levels.push({hash: pieces.at(-1)!, depth: pieces.length});
	}

	return levels;
};
