/** Replays a trace file and checks whether the outcomes stated in it are reached. */
import {type Measures} from './measures.js';
import {type PolicyName} from './policies.js';
import {prepareTrace, replayTrace} from './replay.js';
import {readTrace} from './trace-file.js';
import {type TraceHeader} from './trace-format.js';

/** Result of replaying one file with one policy. */
export type ReplayReport = Measures & {
	trace: string;
	policy: PolicyName;
	/** Descriptions of the stated outcomes that were not reached; empty when all were. */
	missed: string[];
};

/** Describes the stated outcomes that the measures don't reach. */
export const findMissedOutcomes = (measures: Measures, {hitRateOfBest, p99FirstTokenMs, wrongfulRefusals}: TraceHeader['outcomes']): string[] => {
	const missed: string[] = [];
	if (hitRateOfBest !== undefined && measures.hit_rate_of_best < hitRateOfBest) {
		missed.push(`Hit rate ${measures.hit_rate_of_best} of the best possible; ${hitRateOfBest} is stated.`);
	}

	if (p99FirstTokenMs !== undefined && measures.ttft_p99_ms > p99FirstTokenMs) {
		missed.push(`p99 to first token ${measures.ttft_p99_ms} ms; ${p99FirstTokenMs} ms is stated.`);
	}

	if (wrongfulRefusals !== undefined && measures.wrongful_refusals > wrongfulRefusals) {
		missed.push(`${measures.wrongful_refusals} refusals; ${wrongfulRefusals} is stated.`);
	}

	return missed;
};

/**
 * Replays a file with the product's placement, or with another policy.
 * @throws {TraceInvalidError} when the file is not a trace.
 */
export const replayFile = async (path: string, policy: PolicyName = 'hickorywalk'): Promise<ReplayReport> => {
	const trace = await readTrace(path);
	const measures = replayTrace(await prepareTrace(trace), policy);
	return {
		trace: trace.header.name, policy, ...measures, missed: findMissedOutcomes(measures, trace.header.outcomes),
	};
};
