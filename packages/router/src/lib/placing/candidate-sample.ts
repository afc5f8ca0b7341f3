/**
 * Samples the candidates of a choice. Daemons learn of each other's requests with a delay. If
 * each compared all candidates, all would choose the same few until the next reports.
 */
import {type Candidate, isPreferred} from './candidates.js';

/** Options of {@link createSampler}. */
export type SamplerOptions = {
	/** Number of daemons, including this one, that choose concurrently from the same delayed load reports. */
	daemons: () => number;
	/** Returns a number in [0, 1). */
	random: () => number;
};

/**
 * Draws at random, and continues until one of the drawn candidates `canBegin` at once, and for a while
 * until one is preferred. Only what is drawn is looked up, so that the cost of a choice doesn't grow
 * with the number of endpoints.
 */
export type Sample = <T>(items: readonly T[], candidateOf: (item: T) => Candidate | undefined, canBegin: (candidate: Candidate) => boolean) => Candidate[];

/** Two random choices balance load even when load reports are delayed. */
const minSampleSize = 2;

/**
 * Bounds the draws for a preferred candidate, as a multiple of the sample size. If all daemons drew until
 * they found the only preferred engine, that one would get the requests of all.
 */
const preferredDrawRatio = 2;

/** Creates a sampler. The sample size makes about one daemon at a time draw each candidate. */
export function createSampler({daemons, random}: SamplerOptions): Sample {
	return (items, candidateOf, canBegin) => {
		const rest = [...items];
		const sample: Candidate[] = [];
		const size = Math.max(minSampleSize, Math.ceil(items.length / daemons()));
		let hasFree = false;
		let hasPreferred = false;
		const isComplete = (): boolean => sample.length >= size && hasFree && (hasPreferred || sample.length >= size * preferredDrawRatio);
		while (rest.length > 0 && !isComplete()) {
			const index = Math.floor(random() * rest.length);
			const drawn = candidateOf(rest[index]);
			rest[index] = rest.at(-1)!;
			rest.pop();
			if (drawn !== undefined) {
				sample.push(drawn);
				hasFree ||= canBegin(drawn);
				hasPreferred ||= isPreferred(drawn);
			}
		}

		return sample;
	};
}
