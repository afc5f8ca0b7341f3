/**
 * Bounds the time at which requests begin on weights that have been replaced. The bound holds from
 * the choice of an engine until its answer begins, also for weights that are replaced meanwhile.
 */
import {type FleetView} from '../fleet/fleet-view.js';

/** Options of {@link createStartDeadlines}. */
export type StartDeadlinesOptions = {
	view: FleetView;
	/** Maximum time in milliseconds since replacement of the weights on which a request may begin. */
	weightsMs: number;
};

/** Weights on which a request is to begin. */
export type RequestedWeights = {model: string; weights: number};

/** The deadlines. */
export type StartDeadlines = {
	/** Milliseconds until a request that hasn't begun on these weights must be withdrawn; infinite for the newest weights. */
	msLeft: (requested: RequestedWeights) => number;
	/** Whether a request that is expected to wait `waitMs` may be sent to an engine with these weights. */
	maySend: (requested: RequestedWeights, waitMs: number) => boolean;
	/** Calls `withdraw` once if the request hasn't begun by its deadline. The returned function ends the watch. */
	watch: (requested: RequestedWeights, withdraw: () => void) => () => void;
};

/** Fraction of `weightsMs` after which a request is withdrawn. The rest allows for the cancellation to arrive. */
const maxWaitRatio = 0.9;

/** Fraction of `weightsMs` by which a request is expected to begin earlier, since the estimate of its wait may be too low. */
const sendReserveRatio = 0.1;

/** Maximum milliseconds between two checks of a watched request, since ages of weights may be corrected. */
const maxCheckMs = 250;

type Watch = {requested: RequestedWeights; withdraw: () => void; timer: NodeJS.Timeout | undefined};

/** Creates deadlines that follow the namings in a view. */
export function createStartDeadlines({view, weightsMs}: StartDeadlinesOptions): StartDeadlines {
	const watches = new Set<Watch>();

	const msLeft = ({model, weights}: RequestedWeights): number => {
		const named = view.namedWeights(model);
		return named === undefined || named.version <= weights
			? Number.POSITIVE_INFINITY
			: (weightsMs * maxWaitRatio) - named.outdatedMs(weights);
	};

	const check = (watch: Watch): void => {
		clearTimeout(watch.timer);
		const leftMs = msLeft(watch.requested);
		if (leftMs <= 0) {
			watches.delete(watch);
			watch.withdraw();
		} else if (Number.isFinite(leftMs)) {
			watch.timer = setTimeout(() => {
				check(watch);
			}, Math.min(leftMs, maxCheckMs));
		}
	};

	view.onWeights(model => {
		for (const watch of watches) {
			if (watch.requested.model === model) {
				check(watch);
			}
		}
	});

	return {
		msLeft,
		maySend: (requested, waitMs) => msLeft(requested) - (weightsMs * sendReserveRatio) > waitMs,
		watch(requested, withdraw) {
			const watch: Watch = {requested, withdraw, timer: undefined};
			watches.add(watch);
			check(watch);
			return () => {
				watches.delete(watch);
				clearTimeout(watch.timer);
			};
		},
	};
}
