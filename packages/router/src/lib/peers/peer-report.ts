/** Schema of the state reports between daemons. */
import {z} from 'zod';
import {feedRelaySchema} from '../fleet/feed-relay.js';
import {countSchema, nameSchema, unixMsSchema} from '../fleet/report-numbers.js';
import {quarantineReportSchema} from '../quarantine/quarantine-report.js';
import {streamReportSchema} from '../streams/stream-origins.js';

/** Maximum numbers of saved parts and placements in one report; they keep it within one datagram. */
export const maxReportedParts = 24;
export const maxReportedPlacements = 16;

/** Maximum number of endpoints whose pace is in one report; the latest are kept. */
export const maxReportedPaces = 64;

/** Maximum number of leaving endpoints in one report. Daemons learn of the others by themselves. */
export const maxReportedLeaving = 32;

/**
 * Report of one daemon. Lists hold tuples to keep datagrams small. Datagrams carry the values
 * by position, so new fields must be appended.
 */
export const peerReportSchema = z.object({
	daemon: nameSchema,
	/** Unix milliseconds at process start. */
	incarnation: unixMsSchema,
	/** Sequence number, from 1. */
	number: countSchema,
	/** The process is stopping and sends no further reports. */
	isLeaving: z.boolean(),
	/** IP:PORT that receives reports for this daemon. */
	address: nameSchema,
	/** Data centre of this daemon. */
	dataCentre: nameSchema.default(''),
	/** Newest store version seen, by table; as `document`, the version of the document in force. */
	heard: z.record(z.string(), z.number()),
	/**
	 * Workspace, units admitted since start, units requested per second, units left in the fleet's
	 * bucket. Workspaces without recent use are omitted.
	 */
	usage: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])).default([]),
	/**
	 * Endpoint, requests in flight, prompt tokens not computed yet, tokens in memory,
	 * milliseconds until the last request is expected to end.
	 */
	loads: z.array(z.tuple([z.string(), z.number(), z.number(), z.number(), z.number().default(0)])).default([]),
	/** Model, weights version, milliseconds since it was named; recent namings only. */
	named: z.array(z.tuple([z.string(), z.number(), z.number()])).default([]),
	/**
	 * Sent by current or former lease holders: latest attempt to write the lease row, milliseconds for
	 * which the lease may be held.
	 */
	duty: z.tuple([z.number(), z.number()]).nullable().default(null),
	/**
	 * Sent by current or former lease holders: engine, weights version, target version or 0, milliseconds since its
	 * last order or -1, milliseconds until its planned drain or -1. While an engine is being drained, the last figure is
	 * the milliseconds until it is ordered at the latest, if above 0.
	 */
	engines: z.array(z.tuple([z.string(), z.number(), z.number(), z.number(), z.number().default(-1)])).default([]),
	/** Listed endpoints whose process has ended, with its start time. */
	ended: z.array(z.tuple([z.string(), unixMsSchema])).default([]),
	/** Keys of prompt parts sent to the cache store since the previous report to this peer. */
	kept: z.array(z.string()).default([]),
	/**
	 * Prompts placed since the previous report to this peer: engine, cache scope, unshared tokens, shared
	 * parts with their tokens.
	 */
	placed: z.array(z.tuple([z.string(), z.string(), z.number(), z.array(z.tuple([z.string(), z.number()]))])).default([]),
	/** Table, and a store answer that this daemon relays to this peer. */
	relays: z.array(z.tuple([z.string(), feedRelaySchema])).default([]),
	...quarantineReportSchema.shape,
	/** Endpoint, start time of its process, requests per second that it accepts from all daemons together or null, milliseconds since it stated this limit. */
	limits: z.array(z.tuple([z.string(), unixMsSchema, z.number().nullable(), z.number()])).default([]),
	/** Endpoints that are leaving although the store's list doesn't say so, with the start time of their process. */
	leaving: z.array(z.tuple([z.string(), unixMsSchema])).default([]),
	/** Service, requests that each of its endpoints can turn away in a second or null once there is no such number, milliseconds since an endpoint stated it. */
	brittle: z.array(z.tuple([z.string(), z.number().nullable(), z.number()])).default([]),
	/** Streams that this peer keeps the origins of, if they began since the previous report to it. */
	streams: z.array(streamReportSchema).default([]),
	/** Endpoint, duration of work there in percent of the usual as it stated to this daemon, milliseconds since then. */
	paces: z.array(z.tuple([z.string(), z.number(), z.number()])).default([]),
	/** Preference for this daemon as a collector of reports; 0 if it doesn't understand bundles, or its fleet is too small for them. */
	collectorWeight: z.number().default(0),
	/** Milliseconds until this daemon could act on a duty: above 0 after its start, -1 once it is stopping. */
	dutyDelayMs: z.number().default(0),
});

/** A decoded report. */
export type PeerReport = z.infer<typeof peerReportSchema>;
