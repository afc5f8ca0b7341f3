/** Errors of rollouts. */
import {LayerError} from '../errors/layer-error.js';

/** The record of a rollout can't be read, or another daemon has updated it. */
export class RolloutRecordError extends LayerError {
	readonly code = 'rollout_record';
}
