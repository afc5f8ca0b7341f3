/** Decodes the reports in bundles, at little cost where they have hardly changed. */
import {type BundleEntry} from './bundle-codec.js';
import {type Updates, updatesSince} from './bundle-updates.js';
import {type PeerReport} from './peer-report.js';
import {addAge} from './report-age.js';
import {type DecodedText, decodeReportText} from './report-text.js';

/** The decoder of one daemon. */
export type EntryDecoder = {
	/** Returns the report, with the updates that earlier ones of this daemon didn't carry. @throws when it is invalid. */
	decode: (entry: BundleEntry) => PeerReport;
	forget: (daemon: string) => void;
};

type Decoded = {incarnation: number; text: DecodedText; updatedNumber: number};

/** Creates a decoder. */
export function createEntryDecoder(): EntryDecoder {
	const decodedByDaemon = new Map<string, Decoded>();

	return {
		decode({daemon, incarnation, number, ageMs, updatedNumber, text, updates}) {
			const known = decodedByDaemon.get(daemon);
			const decoded = decodeReportText(text, known?.text);
			const appliedNumber = known?.incarnation === incarnation ? known.updatedNumber : 0;
			const fresh: Updates = updatedNumber > appliedNumber ? updatesSince(updates, appliedNumber) : {kept: [], placed: []};
			decodedByDaemon.set(daemon, {incarnation, text: decoded, updatedNumber: Math.max(updatedNumber, appliedNumber)});
			const report: PeerReport = {
				daemon, incarnation, number, isLeaving: false, relays: [], streams: [], kept: fresh.kept, placed: fresh.placed, ...decoded.state,
			};
			addAge(report, ageMs);
			return report;
		},
		forget(daemon) {
			decodedByDaemon.delete(daemon);
		},
	};
}
