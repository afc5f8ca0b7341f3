/**
 * Selects the depths of a prompt at which prefixes are tracked. Prompts share
 * prefixes at few depths, which are not known beforehand; a long prompt has a
 * hundred pieces and more. Depths that grow by about a third at each step keep
 * both the work of a decision and the memory small, and lose at most a quarter of
 * a shared prefix to rounding.
 */

/** A prefix of a prompt: its hash and its length in pieces. */
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

/** Longer prompts are truncated to this many pieces, for placement only. */
const maxPieces = 4096;
const depths = depthsUpTo(maxPieces);

/** Returns the levels of a prompt from shallow to deep; the deepest piece is always included. */
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
