/** Wires the duty that one daemon holds at a time: orders to engines. */
import {createLeaseHolder, type LeaseHolder} from 'hickorywalk/leases.js';
import {createWeightsKeeper} from 'hickorywalk/weights.js';
import {type EntryParts} from './parts.js';

/** Name of the duty to give orders to engines. */
export const weightsDuty = 'weights';

/** The lease on the duty. */
export function wireLeases({settings, timings, incarnation, ownTable, peers, log}: EntryParts): LeaseHolder {
	const holder = createLeaseHolder({
		name: settings.name,
		incarnation: BigInt(incarnation),
		table: ownTable,
		candidates: () => [settings.name, ...peers.live().map(({report}) => report.daemon)],
		isHeldElsewhere: () => peers.live().some(({report}) => report.duty !== null && report.duty[1] > 0),
		lastWord(name, incarnation) {
			const heard = peers.known().get(name);
			return heard?.report.duty && BigInt(heard.report.incarnation) === incarnation
				? {attempt: heard.report.duty[0], heardAt: heard.heardAt, msLeft: heard.report.duty[1]}
				: undefined;
		},
		onAttempt: peers.sendNow,
		leaseMs: timings.leaseMs,
		marginMs: timings.leaseMarginMs,
		onError(err) {
			log.warn('Leases could not be read or written.', {err});
		},
	});
	holder.contend(weightsDuty);
	return holder;
}

/** Brings engines to the named weights while the lease is held. */
export function wireKeeper(parts: EntryParts) {
	const {settings, timings, view, versions, control, leases, book, presence, log} = parts;
	return createWeightsKeeper({
		name: settings.name,
		view,
		versions,
		control,
		held: () => leases.held(weightsDuty),
		handoverMs: timings.handoverMs,
		presence,
		announce: parts.peers.sendNow,
		weightsMs: settings.weightsMs,
		lastsMs(id) {
			const endpoint = view.endpoint(id);
			return endpoint === undefined ? 0 : book.load(endpoint).lastsMs;
		},
		log,
	});
}
