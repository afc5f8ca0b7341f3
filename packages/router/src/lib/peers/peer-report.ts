/** What a daemon tells its peers, a few times a second. */
import {z} from 'zod';

/** Report of one daemon. Lists of numbers are tuples: a report travels often and to many. */
export const peerReportSchema = z.object({
	/** Name of the daemon. */
	daemon: z.string(),
	/** Unix milliseconds of the start of its process. */
	incarnation: z.number(),
	/** Number of the report, from 1. */
	number: z.number(),
	/** The process is stopping and will send no more. */
	isLeaving: z.boolean(),
	/** IP:PORT to which reports for it go. */
	address: z.string(),
	/** Versions of the store up to which it has heard, by table. */
	heard: z.record(z.string(), z.number()),
	/** Workspace, units admitted since its start, units asked for a second, units left in the fleet's bucket as it sees it. */
	usage: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
	/** Endpoint, requests under way, prompt tokens that wait to be computed, tokens in memory, milliseconds until the last of them ends. */
	loads: z.array(z.tuple([z.string(), z.number(), z.number(), z.number(), z.number().default(0)])),
	/** Model, version of weights, and milliseconds since they were named, for recent namings. */
	named: z.array(z.tuple([z.string(), z.number(), z.number()])),
	/**
	 * From a daemon that gives or gave orders to engines: its latest attempt to
	 * write the lease's row, and milliseconds for which it may hold the lease.
	 */
	duty: z.tuple([z.number(), z.number()]).nullable(),
	/** From the daemon that gives orders: engine, weights version, the version that it changes to or 0, milliseconds since its last order or -1, milliseconds until it is emptied for a change or -1. */
	engines: z.array(z.tuple([z.string(), z.number(), z.number(), z.number(), z.number().default(-1)])),
	/** Listed endpoints whose process was found to have ended, with its start. */
	ended: z.array(z.tuple([z.string(), z.number()])).default([]),
	/** Shared prompt parts that were sent to the cache store since the report before. */
	kept: z.array(z.string()).default([]),
	/** Prompts sent to engines since the report before: engine, cache scope, tokens that no other prompt shares, shared parts with their tokens. */
	placed: z.array(z.tuple([z.string(), z.string(), z.number(), z.array(z.tuple([z.string(), z.number()]))])).default([]),
});

/** A decoded report. */
export type PeerReport = z.infer<typeof peerReportSchema>;
