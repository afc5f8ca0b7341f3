/** Measures how fast this daemon's own requests of a service end and so make room for others. */

/** The requests of one daemon, by service. */
export type ServiceTurnover = {
	/** Counts a request that is sent; the returned function records its end. */
	started: (service: string, rank: number) => () => void;
	/** Mean time that requests of a rank are in flight; 0 if unknown. Less urgent ones wait longer in the queues of engines. */
	meanMs: (service: string, rank: number) => number;
	/** Requests per millisecond that are expected to end; 0 if none is in flight. */
	endsPerMs: (service: string) => number;
};

type Record = {running: number; meanMs: number; ended: number};

/** A mean over the latest requests. */
type Mean = Pick<Record, 'meanMs' | 'ended'>;

/** Initial estimate of the time that a request is in flight; low, so that an unknown service lets requests wait. */
const initialMeanMs = 250;

/** The mean is over all requests at first, and over about this many later. */
const maxSamples = 32;

/** Creates a record without requests. */
export function createServiceTurnover(): ServiceTurnover {
	const records = new Map<string, Record>();
	const byRank = new Map<string, Mean>();

	const addTo = (mean: Mean, ms: number): void => {
		mean.ended++;
		mean.meanMs += (ms - mean.meanMs) / Math.min(maxSamples, mean.ended);
	};

	return {
		started(service, rank) {
			const record = records.get(service) ?? {running: 0, meanMs: initialMeanMs, ended: 0};
			records.set(service, record);
			record.running++;
			const startedAt = performance.now();
			return () => {
				record.running--;
				const ms = performance.now() - startedAt;
				addTo(record, ms);
				const key = `${rank} ${service}`;
				const ofRank = byRank.get(key) ?? {meanMs: 0, ended: 0};
				byRank.set(key, ofRank);
				addTo(ofRank, ms);
			};
		},
		meanMs: (service, rank) => byRank.get(`${rank} ${service}`)?.meanMs ?? 0,
		endsPerMs(service) {
			const record = records.get(service);
			return record === undefined ? 0 : record.running / Math.max(1, record.meanMs);
		},
	};
}
