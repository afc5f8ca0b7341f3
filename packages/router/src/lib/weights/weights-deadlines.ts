/**
 * Bounds how long requests may wait and run on weights that have been replaced. The bounds hold from
 * the choice of an engine to the end of the answer, also for weights that are replaced meanwhile.
 */
import {type FleetView} from '../fleet/fleet-view.js';

/** Options of {@link createWeightsDeadlines}. */
export type WeightsDeadlinesOptions = {
	view: FleetView;
	/** Maximum time in milliseconds since replacement of the weights on which a request may begin. */
	weightsMs: number;
};

/** Weights that a request is sent to. */
export type RequestedWeights = {model: string; weights: number};

/** A request at an engine. Each function is called once at most, from a timer or at once. */
export type WatchedRequest = RequestedWeights & {
	/** If the request hasn't begun, it must be withdrawn; if it has, its engine should be freed. */
	onStartDeadline: () => void;
	/** The request must end, so that its engine can load other weights. */
	onRunDeadline: () => void;
};

/** The deadlines. */
export type WeightsDeadlines = {
	/** Whether a request that is expected to wait `waitMs` may be sent to an engine with these weights. */
	maySend: (requested: RequestedWeights, waitMs: number) => boolean;
	/** Watches a request until the returned function is called. */
	watch: (request: WatchedRequest) => () => void;
};

/** Fractions of `weightsMs`. A request that waits is withdrawn early enough for the cancellation to arrive. */
const maxStartRatio = 0.9;
const maxRunRatio = 1.05;

/** Fraction of `weightsMs` by which a request is expected to begin before it would be withdrawn, since the estimate of its wait may be too low. */
const sendReserveRatio = 0.1;

/** Maximum milliseconds between two checks of a watched request, since ages of weights may be corrected. */
const maxCheckMs = 250;

/** The deadlines of a request, by time. */
const stages: ReadonlyArray<{ratio: number; callback: 'onStartDeadline' | 'onRunDeadline'}> = [
	{ratio: maxStartRatio, callback: 'onStartDeadline'},
	{ratio: maxRunRatio, callback: 'onRunDeadline'},
];

type Watch = {request: WatchedRequest; stage: number; timer: NodeJS.Timeout | undefined};

/** Creates deadlines that follow the namings in a view. */
export function createWeightsDeadlines({view, weightsMs}: WeightsDeadlinesOptions): WeightsDeadlines {
	const watches = new Set<Watch>();

	/** Milliseconds until this fraction of `weightsMs` has passed since replacement; infinite for the newest weights. */
	const msLeft = ({model, weights}: RequestedWeights, ratio: number): number => {
		const named = view.namedWeights(model);
		return named === undefined || named.version <= weights
			? Number.POSITIVE_INFINITY
			: (weightsMs * ratio) - named.outdatedMs(weights);
	};

	const check = (watch: Watch): void => {
		clearTimeout(watch.timer);
		while (watches.has(watch) && watch.stage < stages.length) {
			const {ratio, callback} = stages[watch.stage];
			const leftMs = msLeft(watch.request, ratio);
			if (leftMs > 0) {
				watch.timer = Number.isFinite(leftMs) ? setTimeout(check, Math.min(leftMs, maxCheckMs), watch) : undefined;
				return;
			}

			watch.stage++;
			watch.request[callback]();
		}
	};

	view.onWeights(model => {
		for (const watch of watches) {
			if (watch.request.model === model) {
				check(watch);
			}
		}
	});

	return {
		maySend: (requested, waitMs) => msLeft(requested, maxStartRatio - sendReserveRatio) > waitMs,
		watch(request) {
			const watch: Watch = {request, stage: 0, timer: undefined};
			watches.add(watch);
			check(watch);
			return () => {
				watches.delete(watch);
				clearTimeout(watch.timer);
			};
		},
	};
}
