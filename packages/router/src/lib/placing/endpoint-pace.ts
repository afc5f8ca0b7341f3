/**
 * Estimates how long work takes on each endpoint's machine at this moment, relative to the usual,
 * from the figures that endpoints state in their responses.
 *
 * A stated figure has full weight at first. Its weight falls exponentially towards the endpoint's
 * long-term mean, at the rate at which this endpoint's figure has been observed to change. It is
 * useless from 2.3 times its decay time on (weight below 0.1): 1.4 s until a figure has been
 * observed for some seconds, or if it changes every 600 ms; much longer if it is steady.
 *
 * Figures come with responses only. With 71 daemons and 42 engines that serve 203 requests per
 * second, an engine states its figure 4.8 times per second, but a daemon gets a response from a
 * given engine only once in 15 s. Daemons therefore report their figures, with their age.
 */
import {maxReportedPaces, type PeerReport} from '../peers/peer-report.js';

/** Estimates by endpoint id. */
export type EndpointPace = {
	/** Estimated duration of work relative to the usual: 1 if it takes as long as usual or nothing is known, 2 if twice as long. */
	ratio: (id: string) => number;
	/** Records the figure that a response of the endpoint stated on arrival. */
	recordStated: (id: string, ratio: number) => void;
	applyPeerReport: (paces: PeerReport['paces']) => void;
	/** Figures stated to this daemon that are still useful. */
	report: () => PeerReport['paces'];
	forget: (id: string) => void;
};

/** Sums over the observed changes of a figure; older changes count less. */
type Changes = {count: number; observedMs: number};

type Entry = {
	ratio: number;
	/** `performance.now()` at which the endpoint stated `ratio`. */
	at: number;
	mean: number;
	variance: number;
	figures: number;
	changes: Changes;
	/** The latest figure stated to this daemon; `undefined` if there is none. */
	own: {ratio: number; at: number} | undefined;
	/** It has stated another figure than the usual. */
	hasDeviated: boolean;
};

/** Decay time of a figure's weight until its changes have been observed. */
const initialDecayMs = 600;
/** Only figures that follow each other this closely show how fast they change; after a longer gap, equal figures may have changed and returned. */
const maxGapMs = 1000;
/** Time over which past figures and changes are averaged. */
const memoryMs = 20_000;
/** Weight of a single figure in the mean, so that one after a long gap doesn't replace it. */
const maxMeanWeight = 0.2;
/** The usual pace counts as this many figures in the mean, less one, so that the first figure doesn't count as the mean. */
const priorFigures = 5;
/** Lower bound on the standard deviation, so that rounding doesn't count as change. */
const minDeviation = 0.1;
/** Weight below which a figure isn't reported. */
const minUsefulWeight = 0.1;
/** Steady figures remain useful for long, but peers have got them after this time. */
const maxReportedAgeMs = 2500;
/** Figures closer to each other are the same one, reported again by a peer. */
const sameFigureMs = 5;
const percent = 100;
/** Bounds of plausible figures. One faulty figure must neither exclude an endpoint for long nor attract all requests. */
const minRatio = 0.25;
const maxRatio = 10;

const newEntry = (): Entry => ({
	ratio: 1, at: Number.NEGATIVE_INFINITY, mean: 1, variance: 0, figures: 0, changes: {count: 1, observedMs: initialDecayMs}, own: undefined, hasDeviated: false,
});

/** Updates the mean, and counts changes as parts of the largest expected change, which is that between unrelated figures. */
function addFigure(entry: Entry, ratio: number, at: number): void {
	const gapMs = at - entry.at;
	const faded = Math.exp(-Math.min(gapMs, maxGapMs) / memoryMs);
	const weight = Math.max(1 / (entry.figures + priorFigures), Math.min(maxMeanWeight, 1 - Math.exp(-gapMs / memoryMs)));
	const deviation = ratio - entry.mean;
	entry.mean += weight * deviation;
	entry.variance = (1 - weight) * (entry.variance + (weight * (deviation ** 2)));
	if (gapMs <= maxGapMs) {
		const unrelated = 2 * Math.max(entry.variance, minDeviation ** 2);
		entry.changes = {
			count: (entry.changes.count * faded) + Math.min(1, ((ratio - entry.ratio) ** 2) / unrelated),
			observedMs: (entry.changes.observedMs * faded) + gapMs,
		};
	}

	entry.figures++;
	entry.ratio = ratio;
	entry.at = at;
	entry.hasDeviated ||= ratio !== 1;
}

const decayMs = ({changes}: Entry): number => changes.observedMs / changes.count;

const weightAt = (entry: Entry, ageMs: number): number => Math.exp(-Math.max(0, ageMs) / decayMs(entry));

/** Endpoints of which peers may tell before they are listed here, or after they have left. */
const maxReportedEndpoints = 16_384;

/** Creates an estimator without figures. */
export function createEndpointPace(): EndpointPace {
	const entries = new Map<string, Entry>();

	const record = (id: string, stated: number, at: number): Entry | undefined => {
		const ratio = Math.min(maxRatio, Math.max(minRatio, stated));
		let entry = entries.get(id);
		if (entry === undefined) {
			entry = newEntry();
			entries.set(id, entry);
		}

		if (at > entry.at + sameFigureMs) {
			addFigure(entry, ratio, at);
		}

		return entry;
	};

	return {
		ratio(id) {
			const entry = entries.get(id);
			return entry === undefined ? 1 : entry.mean + ((entry.ratio - entry.mean) * weightAt(entry, performance.now() - entry.at));
		},
		recordStated(id, ratio) {
			const now = performance.now();
			record(id, ratio, now)!.own = {ratio, at: now};
		},
		applyPeerReport(paces) {
			const now = performance.now();
			for (const [id, statedPercent, ageMs] of paces) {
				if (entries.has(id) || entries.size < maxReportedEndpoints) {
					record(id, statedPercent / percent, now - ageMs);
				}
			}
		},
		report() {
			const now = performance.now();
			const paces: PeerReport['paces'] = [];
			for (const [id, entry] of entries) {
				const {own} = entry;
				if (own === undefined || !entry.hasDeviated) {
					continue;
				}

				const ageMs = now - own.at;
				if (ageMs <= maxReportedAgeMs && weightAt(entry, ageMs) >= minUsefulWeight) {
					paces.push([id, Math.round(own.ratio * percent), Math.round(ageMs)]);
				}
			}

			return paces.toSorted((a, b) => a[2] - b[2]).slice(0, maxReportedPaces);
		},
		forget(id) {
			entries.delete(id);
		},
	};
}
