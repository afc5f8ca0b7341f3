/**
 * Samples the candidates of one choice. Daemons learn of each other's requests with a delay;
 * if each compared all candidates, all would choose the same few until the next reports.
 */
import {type Candidate} from './candidates.js';

/** Options of {@link createSampler}. */
export type SamplerOptions = {
	/** Daemons that choose at the same time with the same late news of loads, including this one. */
	daemons: () => number;
	/** Returns a number in [0, 1). */
	random: () => number;
};

/** Draws at random, at least until a candidate `canBegin` at once. */
export type Sample = (candidates: readonly Candidate[], canBegin: (candidate: Candidate) => boolean) => Candidate[];

/** Two random choices balance loads even if these are known late. */
const minSampleSize = 2;

/** Creates a sampler; each candidate is drawn by about one daemon at a time. */
export function createSampler({daemons, random}: SamplerOptions): Sample {
	return (candidates, canBegin) => {
		const rest = [...candidates];
		const sample: Candidate[] = [];
		const size = Math.max(minSampleSize, Math.ceil(candidates.length / daemons()));
		let hasFree = false;
		while (rest.length > 0 && (sample.length < size || !hasFree)) {
			const index = Math.floor(random() * rest.length);
			const drawn = rest[index];
			rest[index] = rest.at(-1)!;
			rest.pop();
			sample.push(drawn);
			hasFree ||= canBegin(drawn);
		}

		return sample;
	};
}
