/** Generates the requests that the limits benchmark sends to the fleet and to the global bucket. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type WorkspaceLimit} from 'hickorywalk/limits.js';

/** A fleet size to measure. */
export type LimitsLoad = {
	daemons: number;
	workspaces: number;
	regions: number;
	/** Requests per second over all daemons. */
	requestsPerSecond: number;
	/** Unmeasured seconds at the start, in which the shares of the limits reach their holders. */
	warmUpSeconds: number;
	/** Measured seconds. */
	seconds: number;
};

export type LimitsRequest = {
	daemon: number;
	workspace: number;
	/** Reserved tokens: prompt plus longest answer. */
	tokens: number;
	usedTokens: number;
	/** Milliseconds from the grant to the end of the answer. */
	durationMs: number;
};

/** Demand of workspaces as a fraction of their rate: most are well below it, some close to it, one in twenty far above. */
const largeFleetDemand = [0.5, 0.5, 0.6, 0.6, 0.7, 0.7, 0.8, 0.9, 0.95, 0.6, 0.5, 0.6, 0.7, 0.7, 0.8, 0.5, 0.6, 0.6, 0.7, 4];
const smallFleetDemand = [0.6, 0.9, 0.7, 4, 0.5];
const meanTokens = 2500;
const meanUsedPart = 0.75;
const secondsOfBurst = 20;
const lowestTokensPerSecond = 500;
const msPerSecond = 1000;

/** A trace: the limits of its workspaces and its requests. */
export type LimitsTrace = {
	limits: WorkspaceLimit[];
	/** Demand of each workspace as a fraction of its rate. */
	demandFractions: number[];
	/** Returns the requests of the next millisecond; call it once per millisecond. */
	next: () => LimitsRequest[];
	random: () => number;
};

/** Creates a trace; equal seeds give equal traces. */
export function createLimitsTrace(load: LimitsLoad, seed: number): LimitsTrace {
	const generator = xoroshiro128plus(seed);
	const random = () => uniformFloat64(generator);
	const cumulative: number[] = [];
	let sum = 0;
	for (let index = 0; index < load.workspaces; index += 1) {
		// Zipf-like sizes: a few large workspaces and many small ones.
		sum += 1 / ((index + 1) ** 0.8);
		cumulative.push(sum);
	}

	const demandFractions = cumulative.map((_, index) => load.workspaces <= smallFleetDemand.length ? smallFleetDemand[index] : largeFleetDemand[index % largeFleetDemand.length]);
	const limits = cumulative.map((upTo, index) => {
		const share = (upTo - (cumulative[index - 1] ?? 0)) / sum;
		const demand = share * load.requestsPerSecond * meanTokens * meanUsedPart;
		const tokensPerSecond = Math.max(lowestTokensPerSecond, Math.round(demand / demandFractions[index]));
		return {name: `workspace-${index}`, tokensPerSecond, burstTokens: tokensPerSecond * secondsOfBurst};
	});

	function pickWorkspace(): number {
		const target = random() * sum;
		let low = 0;
		let high = cumulative.length - 1;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (cumulative[middle] < target) {
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
		demandFractions,
		random,
		next() {
			const requests: LimitsRequest[] = [];
			// Exponential gaps make the arrivals independent of each other.
			due += load.requestsPerSecond / msPerSecond;
			while (due > 0) {
				requests.push(createRequest());
				due += Math.log(1 - random());
			}

			return requests;
		},
	};
}
