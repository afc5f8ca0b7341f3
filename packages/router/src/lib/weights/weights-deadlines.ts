/**
 * Bounds how long requests may wait for weights that have been replaced, and tells those in progress when their
 * engine should load. Holds from the choice of an engine to the end of the answer, also for weights that are replaced meanwhile.
 */
import {type FleetView} from '../fleet/fleet-view.js';
import {raiseFault} from '../observability/raise-fault.js';

/** Options of {@link createWeightsDeadlines}. */
export type WeightsDeadlinesOptions = {
	view: FleetView;
	/** Maximum time in milliseconds since replacement of the weights on which a request may begin. */
	weightsMs: number;
};

/** Weights that a request is sent to. */
export type RequestedWeights = {model: string; weights: number};

/** A request at an engine. */
export type WatchedRequest = RequestedWeights & {
	/**
	 * The weights are too old, or soon will be. If the request hasn't begun, it must be withdrawn; if it has, it may be
	 * moved to another engine, but goes on where it is otherwise. Called again several times per second while it is watched.
	 */
	onOutdated: () => void;
};

/** The deadlines. */
export type WeightsDeadlines = {
	/** Whether a request that is expected to wait `waitMs` may be sent to an engine with these weights. */
	maySend: (requested: RequestedWeights, waitMs: number) => boolean;
	/** Watches a request until the returned function is called. */
	watch: (request: WatchedRequest) => () => void;
};

/** Fraction of `weightsMs` after which a request that waits is withdrawn, early enough for the cancellation to arrive. */
const maxStartRatio = 0.9;

/** Fraction of `weightsMs` by which a request is expected to begin before it would be withdrawn, since the estimate of its wait may be too low. */
const sendReserveRatio = 0.1;

/** Maximum milliseconds between two checks of a watched request: ages of weights may be corrected, and places become free. */
const maxCheckMs = 250;

type Watch = {request: WatchedRequest; timer: NodeJS.Timeout | undefined};

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
		const leftMs = msLeft(watch.request, maxStartRatio);
		if (leftMs <= 0) {
			try {
				watch.request.onOutdated();
			} catch (error) {
				raiseFault(error);
			}
		}

		if (watches.has(watch) && Number.isFinite(leftMs)) {
			watch.timer = setTimeout(check, leftMs > 0 ? Math.min(leftMs, maxCheckMs) : maxCheckMs, watch);
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
			const watch: Watch = {request, timer: undefined};
			watches.add(watch);
			check(watch);
			return () => {
				watches.delete(watch);
				clearTimeout(watch.timer);
			};
		},
	};
}
