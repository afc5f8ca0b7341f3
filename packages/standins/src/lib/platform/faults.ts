/** Faults of the platform that a test injects. */
import {z} from 'zod';

/** Services of the platform that can fail independently. */
export const platformAreas = ['table', 'objects', 'weights', 'vms'] as const;

/** A fault of one area; replaces the area's previous fault. */
export const platformFaultSchema = z.strictObject({
	area: z.enum(platformAreas),
	/**
	 * `slow` delays each response, `down` responds with 503 without executing
	 * the call, `lost` executes it and then drops the connection, `none` ends the fault.
	 */
	kind: z.enum(['none', 'slow', 'down', 'lost']),
	/** Delay for `slow`, in milliseconds. */
	ms: z.number().nonnegative().default(0),
	/** Number of calls that are affected; if absent, the fault lasts until it is replaced. */
	calls: z.number().int().positive().optional(),
});

export type PlatformArea = typeof platformAreas[number];
export type PlatformFault = z.infer<typeof platformFaultSchema>;

/** The active fault of each area. */
export type PlatformFaults = {
	set: (fault: PlatformFault) => void;
	/** Returns the fault for the next call to the area, and counts that call. */
	next: (area: PlatformArea) => PlatformFault | undefined;
};

/** Creates a set of faults with none active. */
export function createPlatformFaults(): PlatformFaults {
	const faults = new Map<PlatformArea, PlatformFault>();
	return {
		set(fault) {
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
