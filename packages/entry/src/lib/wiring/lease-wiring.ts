/** Wires the lease for ordering weights changes, and the weights rollout that acts while holding it. */
import {
	createDutyTimer, createLeaseHolder, type DutyTimer, type LeaseHolder,
} from 'hickorywalk/leases.js';
import {type PeerReport} from 'hickorywalk/peers.js';
import {type EndpointLoad} from 'hickorywalk/placing.js';
import {createNamingRecord, createWeightsRollout, type NamingRecord} from 'hickorywalk/weights.js';
import {type EntryParts} from './parts.js';

/** Name of the lease for ordering weights changes. */
export const weightsLease = 'weights';

/** Leases for which a daemon that handed the duty over leaves it to others. */
const leasesUntilNextTurn = 3;

/** Creates the record of named weights, which is stored with the lease. */
export const wireNamingRecord = ({view, store, operatorFeed, log}: EntryParts): NamingRecord =>
	createNamingRecord({
		view, storeMs: store.clockMs, generation: store.generation, feedAgeMs: operatorFeed.ageMs, log,
	});

/** Step of the reported delay in milliseconds, so that reports of a daemon that starts seldom differ. */
const dutyDelayStepMs = 400;

/** Milliseconds until this daemon could act on a duty; -1 once it is stopping. */
export const dutyDelayMs = ({state, weightsRollout}: EntryParts): number =>
	state.isStopping ? -1 : Math.ceil(weightsRollout.handoverLeftMs() / dutyDelayStepMs) * dutyDelayStepMs;

/** Daemons that may take a duty over. */
export type DutyCandidates = {
	/** Includes this daemon. */
	names: string[];
	/** This daemon comes after all others. */
	isDeferred: boolean;
};

/** The candidates for a duty: the daemons that can act on it first, at once if there are any. */
export function dutyCandidates(own: {name: string; delayMs: number}, peers: ReadonlyArray<Pick<PeerReport, 'daemon' | 'dutyDelayMs'>>): DutyCandidates {
	const earlier = peers.filter(peer => peer.dutyDelayMs >= 0 && peer.dutyDelayMs < own.delayMs);
	const isDeferred = earlier.length > 0;
	const others = isDeferred ? earlier : peers.filter(peer => peer.dutyDelayMs === own.delayMs);
	return {names: [own.name, ...others.map(({daemon}) => daemon)], isDeferred};
}

/** Contends for the lease; peers' reports shorten a takeover. */
export function wireLeases(parts: EntryParts): LeaseHolder {
	const {settings, timings, incarnation, ownTable, peers, namingRecord, log} = parts;

	const candidates = (): DutyCandidates => dutyCandidates({name: settings.name, delayMs: dutyDelayMs(parts)}, peers.live().map(({report}) => report));

	const holder = createLeaseHolder({
		name: settings.name,
		incarnation: BigInt(incarnation),
		table: ownTable,
		candidates: () => candidates().names,
		isDeferred: () => candidates().isDeferred,
		isHeldElsewhere: () => peers.live().some(({report, heardAt}) => report.duty !== null && report.duty[1] > performance.now() - heardAt),
		lastReport(name, incarnation) {
			const peer = peers.known().get(name);
			return peer?.report.duty && String(peer.report.incarnation) === String(incarnation)
				? {attempt: peer.report.duty[0], heardAt: peer.heardAt, msLeft: peer.report.duty[1]}
				: undefined;
		},
		onAttempt() {
			void peers.sendNow();
		},
		note: namingRecord.encode,
		onNote(_duty, note) {
			namingRecord.accept(note);
		},
		onHeld() {
			parts.rolloutTimer.start();
		},
		leaseMs: timings.leaseMs,
		marginMs: timings.leaseMarginMs,
		onError(err) {
			log.warn('Leases could not be read or written.', {err});
		},
	});
	holder.contend(weightsLease);
	return holder;
}

/** Runs the rollout's checks while this daemon holds the lease; the other daemons are not woken for them. */
export const wireRolloutTimer = (parts: EntryParts): DutyTimer => createDutyTimer({
	everyMs: parts.timings.rolloutEveryMs,
	isHeld: () => parts.leases.held(weightsLease) !== undefined,
	tick() {
		parts.weightsRollout.tick();
	},
});

/** Creates the weights rollout; it acts only while the lease is held. */
export function wireWeightsRollout(parts: EntryParts) {
	const {
		settings, timings, view, versions, control, leases, loadTracker, presence, limits, paths, metrics, log,
	} = parts;
	const loadOf = (id: string): EndpointLoad | undefined => {
		const endpoint = view.endpoint(id);
		return endpoint && loadTracker.load(endpoint);
	};

	return createWeightsRollout({
		name: settings.name,
		view,
		versions,
		control,
		held: () => leases.held(weightsLease),
		handoverMs: timings.handoverMs,
		isOutOfReach: paths.isReachedByPeers,
		onUnreached: paths.suspect,
		handOver() {
			void leases.handOver(weightsLease, timings.leaseMs * leasesUntilNextTurn);
		},
		presence,
		announce: parts.peers.sendNow,
		daemons: parts.peers.fleetSize,
		weightsMs: settings.weightsMs,
		remainingMs: id => loadOf(id)?.remainingMs ?? 0,
		hasRequests: id => (loadOf(id)?.running ?? 0) > 0,
		useOf(endpoint) {
			const {running, pendingTokens, memoryTokens} = loadTracker.load(endpoint);
			return {
				queueMs: pendingTokens * loadTracker.msPerToken(endpoint.id),
				usedRatio: Math.max(running / endpoint.slots, memoryTokens / (view.memoryTokens(endpoint.id) ?? Number.POSITIVE_INFINITY)),
			};
		},
		hasUnstarted: loadTracker.hasUnstarted,
		onDrained: metrics.engineDrained,
		minRequestIntervalMs: endpoint => limits.waitMs([endpoint]),
		log,
	});
}
