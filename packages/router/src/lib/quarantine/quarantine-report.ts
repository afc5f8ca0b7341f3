/** Schemas of reports between daemons about requests that crash endpoints. */
import {z} from 'zod';

/** Endpoint, start of its process in Unix milliseconds, milliseconds since the crash, suspects: digest, position and keys of parts. */
export const crashReportSchema = z.tuple([z.string(), z.number(), z.number(), z.array(z.tuple([z.string(), z.string(), z.array(z.string()).default([])]))]);

/** Digest of a request or key of a part, term of its refusal, milliseconds left of the term, whether the refusal is lifted. */
export const refusalReportSchema = z.tuple([z.string(), z.number(), z.number(), z.boolean()]);

export const quarantineReportSchema = z.object({
	crashes: z.array(crashReportSchema).default([]),
	/** Digests of suspects that completed, and keys of suspected parts. */
	completed: z.array(z.string()).default([]),
	refused: z.array(refusalReportSchema).default([]),
});

/** One daemon's report about requests that crash endpoints. */
export type QuarantineReport = z.infer<typeof quarantineReportSchema>;
