/** Finds slopes by name, and fails loudly when one was renamed or dropped. */
import {type Slope} from './measure.js';

/** Tells the slope of a role's cost per something. */
export type SlopeTable = {
	slope: (role: string, cost: string, per: string) => number;
	all: readonly Slope[];
};

export function createSlopeTable(slopes: readonly Slope[]): SlopeTable {
	return {
		all: slopes,
		slope(role, cost, per) {
			const found = slopes.find(slope => slope.role === role && slope.cost === cost && slope.per === per);
			if (found === undefined) {
				throw new Error(`No slope "${role}: ${cost}" per ${per} was measured; mend capacity-rows.ts or slopes.ts.`);
			}

			return found.slope;
		},
	};
}
