/** Measures how fast this daemon's own requests of a service end and so make room for others. */

/** The requests of one daemon, by service. */
export type ServiceTurnover = {
	/** Counts a request that is sent; the returned function records its end. */
	started: (service: string) => () => void;
	/** Requests per millisecond that are expected to end; 0 if none is in flight. */
	endsPerMs: (service: string) => number;
};

type Record = {running: number; meanMs: number; ended: number};

/** Initial estimate of the time that a request is in flight; low, so that an unknown service lets requests wait. */
const initialMeanMs = 250;

/** The mean is over all requests at first, and over about this many later. */
const maxSamples = 32;

/** Creates a record without requests. */
export function createServiceTurnover(): ServiceTurnover {
	const records = new Map<string, Record>();

	return {
		started(service) {
			const record = records.get(service) ?? {running: 0, meanMs: initialMeanMs, ended: 0};
			records.set(service, record);
			record.running++;
			const startedAt = performance.now();
			return () => {
				record.running--;
				record.ended++;
				record.meanMs += (performance.now() - startedAt - record.meanMs) / Math.min(maxSamples, record.ended);
			};
		},
		endsPerMs(service) {
			const record = records.get(service);
			return record === undefined ? 0 : record.running / Math.max(1, record.meanMs);
		},
	};
}
