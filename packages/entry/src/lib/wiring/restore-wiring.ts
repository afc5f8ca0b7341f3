/** Wires what daemons write again when the store has come back from an older copy. */
import {positionOf} from 'hickorywalk/routing.js';
import {type EntryParts} from './parts.js';

/** Number of daemons that write refusals again; the writes are conditional, so that more than one does no harm. */
const refusalWriters = 2;

/** Writes lost rows again: each daemon its own entry in the directory, a few of them the refusals in force. */
export function wireRestore({
	settings, store, peers, directory, fleetKey, quarantine, refusalRows,
}: EntryParts): void {
	store.onRestored(() => {
		directory.entriesLost();
		fleetKey.refresh();
		const names = [settings.name, ...peers.live().map(({report}) => report.daemon)];
		if (positionOf('refusals', settings.name, names) < refusalWriters) {
			for (const refusal of quarantine.current()) {
				refusalRows.save(refusal);
			}
		}
	});
}
