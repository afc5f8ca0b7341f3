/** The requests that the limits' benchmark feeds to the fleet and to the one global bucket. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type WorkspaceLimit} from 'hickorywalk/limits.js';

/** One size of fleet to measure. */
export type LimitsLoad = {
	daemons: number;
	workspaces: number;
	regions: number;
	/** Requests a second over all daemons. */
	requestsPerSecond: number;
	/** Seconds without measurement, in which shares find their holders. */
	warmUpSeconds: number;
	/** Seconds that are measured. */
	seconds: number;
};

/** One request. */
export type LimitsRequest = {
	daemon: number;
	workspace: number;
	/** Tokens reserved: prompt and longest answer. */
	tokens: number;
	usedTokens: number;
	/** Milliseconds from the grant to the end of the answer. */
	durationMs: number;
};

/** Demand as a part of the rate: most are well inside, some close to it, one in twenty far above. */
const demandParts = [0.5, 0.5, 0.6, 0.6, 0.7, 0.7, 0.8, 0.9, 0.95, 0.6, 0.5, 0.6, 0.7, 0.7, 0.8, 0.5, 0.6, 0.6, 0.7, 4];
const todayParts = [0.6, 0.9, 0.7, 4, 0.5];
const meanTokens = 2500;
const meanUsedPart = 0.75;
const secondsOfBurst = 20;
const shortestRate = 500;
const msPerSecond = 1000;

/** What a trace consists of. */
export type LimitsTrace = {
	limits: WorkspaceLimit[];
	/** Demand of each workspace as a part of its rate. */
	parts: number[];
	/** Requests that come in within one millisecond; call it once for each, in order. */
	next: () => LimitsRequest[];
	random: () => number;
};

/** Creates the trace of a seed. */
export function createLimitsTrace(load: LimitsLoad, seed: number): LimitsTrace {
	const generator = xoroshiro128plus(seed);
	const random = () => uniformFloat64(generator);
	const cumulative: number[] = [];
	let sum = 0;
	for (let index = 0; index < load.workspaces; index += 1) {
		// A few large workspaces and many small ones.
		sum += 1 / ((index + 1) ** 0.8);
		cumulative.push(sum);
	}

	const parts = cumulative.map((_, index) => load.workspaces <= todayParts.length ? todayParts[index] : demandParts[index % demandParts.length]);
	const limits = cumulative.map((upTo, index) => {
		const share = (upTo - (cumulative[index - 1] ?? 0)) / sum;
		const demand = share * load.requestsPerSecond * meanTokens * meanUsedPart;
		const tokensPerSecond = Math.max(shortestRate, Math.round(demand / parts[index]));
		return {name: `workspace-${index}`, tokensPerSecond, burstTokens: tokensPerSecond * secondsOfBurst};
	});

	function pickWorkspace(): number {
		const mark = random() * sum;
		let low = 0;
		let high = cumulative.length - 1;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (cumulative[middle] < mark) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}

	function createRequest(): LimitsRequest {
		const prompt = 200 + Math.floor(random() * 2600);
		const longestAnswer = 500 + Math.floor(random() * 1200);
		const answer = Math.floor(longestAnswer * (0.1 + (random() * 0.5)));
		return {
			daemon: Math.floor(random() * load.daemons),
			workspace: pickWorkspace(),
			tokens: prompt + longestAnswer,
			usedTokens: prompt + answer,
			durationMs: 300 + (answer * 10),
		};
	}

	let due = 0;
	return {
		limits,
		parts,
		random,
		next() {
			const requests: LimitsRequest[] = [];
			// Exponential gaps: arrivals that know nothing of each other.
			due += load.requestsPerSecond / msPerSecond;
			while (due > 0) {
				requests.push(createRequest());
				due += Math.log(1 - random());
			}

			return requests;
		},
	};
}
