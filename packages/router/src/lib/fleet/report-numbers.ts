/** Schemas of values in reports between daemons that would be kept for good, such as numbers that only ever rise. */
import {z} from 'zod';

/** Store positions up to this one are plausible. */
const maxPosition = 2 ** 50;

const maxUnixMs = Date.UTC(2200);

const maxNameChars = 256;

/** Name or address of a daemon. */
export const nameSchema = z.string().max(maxNameChars);

/** A sequence number. */
export const countSchema = z.int().nonnegative();

/** A position in the store's history. */
export const positionSchema = z.int().nonnegative().max(maxPosition);

/** A point in time, in Unix milliseconds. */
export const unixMsSchema = z.number().nonnegative().max(maxUnixMs);
