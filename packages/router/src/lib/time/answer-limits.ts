/**
 * Time limits of calls to a service that may answer late. An open connection may stay silent for good, so that a
 * call without an answer has to be given up; with a fixed limit, a service that always takes longer would never be heard.
 *
 * An answer that the network held up says nothing about the next connection. A call that is waited for beyond
 * its usual limit is therefore made again meanwhile, so that a limit that has grown delays no answer over a new connection.
 */
import {type CallAttempt, createCallAttempts} from './call-attempts.js';

/** Limits of one call, in milliseconds. */
export type CallLimits = {
	/** Time within which an answer usually arrives. */
	answerMs: number;
	/** Time for which the service may hold the call on purpose, such as a long poll. */
	waitMs?: number;
	/** Whether the call may be made again, and end after its limit. A write that takes effect after it was given up could revert a later one. */
	isRepeatable: boolean;
};

/** The limits of all calls to one service. */
export type AnswerLimits = {
	/**
	 * Makes a call of a kind; `start` makes each attempt.
	 * @throws {LateAnswerError} if there is no answer within the limit; a repeatable call is then timed on.
	 */
	call: <T>(kind: string, limits: CallLimits, start: (attempt: CallAttempt) => Promise<T>) => Promise<T>;
};

/** Options of {@link createAnswerLimits}. */
export type AnswerLimitsOptions = {
	/** A call was answered after its limit, or given up without an answer. */
	onLate?: (kind: string, ms: number, isAnswered: boolean) => void;
	/** A call without an answer is waited for beyond its usual limit, up to `limitMs`, since the service was late before. */
	onExtended?: (kind: string, ms: number, limitMs: number) => void;
};

/** There was no answer within the limit. */
export class LateAnswerError extends Error {
	override readonly name = 'LateAnswerError';
}

/** Times by which an answer may take longer than usual. */
const headroom = 2;

/** Part of the usual time that is kept after a faster answer, so that the limit is soon short again after an outage. */
const keptRatio = 0.5;

/** Time in milliseconds after which a call is aborted that may end late. */
const maxAnswerMs = 30_000;

/** Longest time in milliseconds that is learned from silence alone: the connection may have died. */
const maxSilentMs = 4000;

/** Calls of one kind that may be late at a time. */
const maxLateCalls = 4;

/** Time between two repeats of a call, in multiples of the time within which an answer usually arrives. */
const repeatTimes = 4;

/** Creates limits that follow the times which answers of each kind of call take. */
export function createAnswerLimits({onLate = () => undefined, onExtended = () => undefined}: AnswerLimitsOptions = {}): AnswerLimits {
	/** Usual times of answers, in milliseconds. */
	const usualMs = new Map<string, number>();
	const lateCalls = new Map<string, number>();
	const lateCallsOf = (name: string): number => lateCalls.get(name) ?? 0;

	/** Only times of kinds whose answers take longer than `answerMs` are kept. */
	const learn = (name: string, ms: number, answerMs: number): void => {
		const nextMs = Math.max(ms, (usualMs.get(name) ?? 0) * keptRatio);
		if (nextMs * headroom > answerMs) {
			usualMs.set(name, nextMs);
		} else {
			usualMs.delete(name);
		}
	};

	const addLateCalls = (name: string, count: number): void => {
		const total = lateCallsOf(name) + count;
		if (total > 0) {
			lateCalls.set(name, total);
		} else {
			lateCalls.delete(name);
		}
	};

	return {
		async call(name, {answerMs, waitMs = 0, isRepeatable}, start) {
			return new Promise((resolve, reject: (error: Error) => void) => {
				const startedAt = performance.now();
				let isLate = false;
				let isKept = false;
				let isExtended = false;
				let timer: NodeJS.Timeout;

				const ended = (isAnswered: boolean): void => {
					clearTimeout(timer);
					if (isKept) {
						addLateCalls(name, -1);
					}

					if (isLate) {
						onLate(name, performance.now() - startedAt, isAnswered);
					}
				};

				const attempts = createCallAttempts({
					start,
					onAnswer(answer, ms) {
						learn(name, ms, answerMs);
						ended(true);
						resolve(answer);
					},
					onFailed(error) {
						ended(false);
						reject(error);
					},
				});

				const giveUp = (): void => {
					attempts.abortAllBut(0);
					ended(false);
				};

				const endLate = (limitMs: number): void => {
					isLate = true;
					reject(new LateAnswerError(`No answer within ${Math.round(limitMs)} ms.`));
					if (isRepeatable && lateCallsOf(name) < maxLateCalls) {
						isKept = true;
						addLateCalls(name, 1);
						attempts.abortAllBut(1);
						timer = setTimeout(giveUp, startedAt + maxAnswerMs - performance.now());
						return;
					}

					if (!isRepeatable) {
						learn(name, Math.min(maxSilentMs, performance.now() - startedAt), answerMs);
					}

					giveUp();
				};

				/** The limit may have grown since the call was made. */
				const check = (): void => {
					const now = performance.now();
					const limitMs = waitMs + Math.max(answerMs, Math.min(maxAnswerMs, (usualMs.get(name) ?? 0) * headroom));
					const leftMs = attempts.progressedAt() + limitMs - now;
					if (leftMs <= 0) {
						endLate(limitMs);
						return;
					}

					if (!isExtended && now - attempts.progressedAt() >= waitMs + answerMs) {
						isExtended = true;
						onExtended(name, now - startedAt, limitMs);
					}

					const gapMs = attempts.openCount() > 1 ? answerMs * repeatTimes : answerMs;
					let repeatInMs = isRepeatable ? attempts.dueSince() + gapMs - now : leftMs;
					if (repeatInMs <= 0) {
						attempts.begin(0);
						repeatInMs = answerMs * repeatTimes;
					}

					timer = setTimeout(check, Math.min(leftMs, repeatInMs));
				};

				timer = setTimeout(check, waitMs + answerMs);
				attempts.begin(waitMs);
			});
		},
	};
}
