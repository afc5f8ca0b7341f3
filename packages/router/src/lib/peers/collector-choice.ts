/**
 * Chooses the collectors of a data centre, to which its daemons send their reports. Rendezvous
 * hashing lets all daemons that know the same candidates choose the same collectors.
 */
import {orderedBy} from '../routing/rendezvous.js';

/** A daemon that can collect reports. */
export type CollectorCandidate = {
	name: string;
	/** Preference for this daemon, from its share of the CPU and its link; above 0. */
	weight: number;
};

/** Members of one collector, at most; bounds the bytes and the CPU time that a collector spends on its members. */
export const maxMembers = 48;

/** Fraction of the largest weights from which a candidate can be chosen. */
const minWeightRatio = 0.7;

/** All candidates that may collect, in the order in which they are chosen. */
export function rankCollectors(dataCentre: string, candidates: readonly CollectorCandidate[]): string[] {
	const count = collectorCount(candidates.length);
	const weights = candidates.map(({weight}) => weight).toSorted((a, b) => b - a);
	const minWeight = (weights.at(count - 1) ?? 0) * minWeightRatio;
	const strong = candidates.filter(({weight}) => weight >= minWeight).map(({name}) => name);
	const weak = candidates.filter(({weight}) => weight < minWeight).map(({name}) => name);
	const key = `collector ${dataCentre}`;
	return [...orderedBy(key, strong), ...orderedBy(key, weak)];
}

/** Number of collectors of a data centre with this many candidates. */
export const collectorCount = (candidates: number): number => Math.max(1, Math.ceil(candidates / maxMembers));

/** Collector to which a member of the data centre sends its reports; `undefined` without candidates. */
export function collectorFor(member: string, dataCentre: string, candidates: readonly CollectorCandidate[]): string | undefined {
	const collectors = rankCollectors(dataCentre, candidates).slice(0, collectorCount(candidates.length));
	return collectors.includes(member) ? member : orderedBy(`member ${member}`, collectors).at(0);
}
