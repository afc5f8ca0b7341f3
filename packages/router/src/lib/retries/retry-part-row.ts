/**
 * The row that divides the fixed number of repeats among daemons.
 *
 * A unit is a repeat that its holder may grant in any window, for each service. It has one holder at a time, and
 * none until a window has passed since its last holder may have granted a repeat, so that in any window all
 * holders together repeat no more than there are units. Times are on the store's clock, in milliseconds.
 */
import {z} from 'zod';

const countSchema = z.number().int().nonnegative();

export const partRowSchema = z.object({
	/** Generation of the table in which the row was written. */
	generation: z.number(),
	/** Until then, parts may exist that the row doesn't tell of: it was lost, or came back from an older copy. */
	settledAt: z.number(),
	holders: z.array(z.object({
		name: z.string(), incarnation: z.number(), units: countSchema, until: z.number(),
	})),
	/** Units without a holder, and from when on they may be given out. */
	returned: z.array(z.object({units: countSchema, at: z.number()})),
});

export type PartRow = z.infer<typeof partRowSchema>;

/** A row of no generation, so that the next renewal counts it as lost. */
export const emptyRow: PartRow = {
	generation: -1, settledAt: 0, holders: [], returned: [],
};

/** Durations in milliseconds. */
export type PartTimes = {
	/** Time after which a part ends unless it is renewed. */
	leaseMs: number;
	/** Time from the end of a part until its units may be given out: a window and the lateness of clocks. */
	restMs: number;
};

/** The daemon that renews its part. */
export type PartClaim = PartTimes & {
	name: string;
	incarnation: number;
	/** Units that it may be using. */
	held: number;
	/** All units of the row. */
	total: number;
	generation: number;
	/** Whether no part can exist if there is no row. */
	isFirstStart: boolean;
	/** The store's clock: it isn't earlier than `now`, nor later than `latest`. */
	now: number;
	latest: number;
};

/** What a renewal writes. */
export type PartRenewal = {
	row: PartRow;
	units: number;
	/** Daemons among which the units are divided. */
	holders: number;
	/** When the part may be able to grow: `undefined` if it is as large as it should be, or others have to shrink first. */
	growsAt: number | undefined;
};

/** Part of the units that is divided; the rest is left for daemons that start. */
const dividedRatio = 0.85;

/** The first part of a daemon, as a share of all units: how many others are starting isn't known yet. */
const firstRatio = 1 / 16;

/** Time after which a daemon has learned of those that started with it, in milliseconds. */
const startMs = 2000;

const sumUnits = (items: ReadonlyArray<{units: number}>): number => items.reduce((sum, {units}) => sum + units, 0);

/** The row as it is now, without the daemon's own part and with its predecessor's returned. */
function currentRow(row: PartRow | undefined, claim: PartClaim): PartRow {
	const {now, latest, generation, leaseMs, restMs} = claim;
	const unsettledUntil = latest + leaseMs + restMs;
	if (row === undefined) {
		return {
			generation, settledAt: claim.isFirstStart && claim.held === 0 ? now : unsettledUntil, holders: [], returned: [],
		};
	}

	// Later times can't have been written by this clock; a table that comes back may have another.
	const holders = row.holders.map(holder => ({...holder, until: Math.min(holder.until, latest + leaseMs)})).filter(({until}) => until + restMs > now);
	const returned = row.returned.map(({units, at}) => ({units, at: Math.min(at, latest + restMs)}));
	const predecessors = holders.filter(({name, incarnation}) => name === claim.name && incarnation !== claim.incarnation);
	return {
		generation,
		settledAt: row.generation === generation ? Math.min(row.settledAt, unsettledUntil) : unsettledUntil,
		holders: holders.filter(({name}) => name !== claim.name),
		returned: [
			...returned,
			...predecessors.map(({units, until}) => ({units, at: Math.min(until, latest) + restMs})),
		].filter(({units, at}) => units > 0 && at > now),
	};
}

/** Plans the renewal of a part by what the row says now. */
export function renewPart(row: PartRow | undefined, claim: PartClaim): PartRenewal {
	const {
		name, incarnation, total, now, latest, leaseMs, restMs,
	} = claim;
	const own = row?.holders.find(holder => holder.name === name && holder.incarnation === incarnation);
	const {holders: others, ...current} = currentRow(row, claim);
	// A renewal whose answer was lost may have given out more than is in use.
	const before = Math.max(claim.held, own?.units ?? 0);
	const holders = 1 + others.filter(({until}) => until > now).length;
	const target = Math.max(1, Math.floor(total * dividedRatio / holders));
	const available = Math.max(0, total - sumUnits(others) - sumUnits(current.returned));
	const isSettled = now >= current.settledAt;
	const isFirst = own === undefined && claim.held === 0;
	const most = isFirst ? Math.min(target, Math.max(1, Math.floor(total * firstRatio))) : target;
	// An older copy of the row may give back what this daemon has returned since.
	const units = Math.min(isSettled ? most : Math.min(most, claim.held), available);
	return {
		row: {
			...current,
			holders: [...others, {
				name, incarnation, units, until: now + leaseMs,
			}],
			returned: units < before ? [...current.returned, {units: before - units, at: latest + restMs}] : current.returned,
		},
		units,
		holders,
		growsAt: units < target ? growthAt(current, {now, isSettled, isFirst}) : undefined,
	};
}

function growthAt({settledAt, returned}: Omit<PartRow, 'holders'>, {now, isSettled, isFirst}: {now: number; isSettled: boolean; isFirst: boolean}): number | undefined {
	if (!isSettled) {
		return settledAt;
	}

	if (isFirst) {
		return now + startMs;
	}

	return returned.length === 0 ? undefined : Math.min(...returned.map(({at}) => at));
}

/** The row once a daemon has returned its part. */
export function returnPart(row: PartRow, {name, incarnation, held, latest, restMs}: Pick<PartClaim, 'name' | 'incarnation' | 'held' | 'latest' | 'restMs'>): PartRow {
	const own = row.holders.find(holder => holder.name === name && holder.incarnation === incarnation);
	const units = Math.max(held, own?.units ?? 0);
	return {
		...row,
		holders: row.holders.filter(holder => holder !== own),
		returned: units > 0 ? [...row.returned, {units, at: latest + restMs}] : row.returned,
	};
}
