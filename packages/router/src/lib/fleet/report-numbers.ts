/** Schemas of numbers in reports between daemons that only ever rise, so that a wrong one would be kept for good. */
import {z} from 'zod';

/** Store positions up to this one are plausible. */
const maxPosition = 2 ** 50;

const maxUnixMs = Date.UTC(2200);

/** A sequence number. */
export const countSchema = z.int().nonnegative();

/** A position in the store's history. */
export const positionSchema = z.int().nonnegative().max(maxPosition);

/** A point in time, in Unix milliseconds. */
export const unixMsSchema = z.number().nonnegative().max(maxUnixMs);
