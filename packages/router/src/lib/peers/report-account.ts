/** Bounds the memory that the latest reports of all peers take. */

/** Bytes of the text of the latest reports, by daemon. */
export type ReportAccount = {
	/** Counts a daemon's report in place of its previous one; returns whether there is room for it. */
	hold: (daemon: string, report: {bytes: number; isListed: boolean}) => boolean;
	/** Drops a daemon that is gone. */
	release: (daemon: string) => void;
};

/** Records of a daemon besides the text of its report. */
const bytesPerDaemon = 1024;

/** Fraction of the room that daemons take of which the directory doesn't know. */
const unlistedRatio = 0.5;

/** Creates an account with room for `maxBytes`; decoded reports take several times as much. */
export function createReportAccount(maxBytes: number): ReportAccount {
	const held = new Map<string, number>();
	let total = 0;

	return {
		hold(daemon, {bytes, isListed}) {
			const next = total - (held.get(daemon) ?? 0) + bytesPerDaemon + bytes;
			if (next > (isListed ? maxBytes : maxBytes * unlistedRatio)) {
				return false;
			}

			held.set(daemon, bytesPerDaemon + bytes);
			total = next;
			return true;
		},
		release(daemon) {
			total -= held.get(daemon) ?? 0;
			held.delete(daemon);
		},
	};
}
