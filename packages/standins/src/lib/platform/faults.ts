/** Faults of the platform that a test orders. */
import {z} from 'zod';

/** The areas that can fail on their own. */
export const platformAreas = ['table', 'objects', 'weights', 'vms'] as const;

/** One order of a fault; it replaces the fault that the area had before. */
export const platformFaultSchema = z.strictObject({
	area: z.enum(platformAreas),
	/**
	 * `slow` delays each answer, `down` answers 503 without acting, `lost`
	 * acts and then cuts the connection, `none` ends the fault.
	 */
	kind: z.enum(['none', 'slow', 'down', 'lost']),
	/** Milliseconds of delay for `slow`. */
	ms: z.number().nonnegative().default(0),
	/** How many calls it hits; without it the fault lasts until the next order. */
	calls: z.number().int().positive().optional(),
});

export type PlatformArea = typeof platformAreas[number];
export type PlatformFault = z.infer<typeof platformFaultSchema>;

/** Keeps the fault in force for each area. */
export type FaultBoard = {
	order: (fault: PlatformFault) => void;
	/** The fault that hits the next call of the area; counts it. */
	next: (area: PlatformArea) => PlatformFault | undefined;
};

/** Creates a board without faults. */
export function createFaultBoard(): FaultBoard {
	const faults = new Map<PlatformArea, PlatformFault>();
	return {
		order(fault) {
			faults.set(fault.area, fault);
		},
		next(area) {
			const fault = faults.get(area);
			if (fault === undefined || fault.kind === 'none') {
				return undefined;
			}

			if (fault.calls === 1) {
				faults.delete(area);
			} else if (fault.calls !== undefined) {
				faults.set(area, {...fault, calls: fault.calls - 1});
			}

			return fault;
		},
	};
}
