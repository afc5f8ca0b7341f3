/** Status of a daemon, as shown to other modules. */
import {Phase} from '../../gen/hickorywalk/v1/membership_pb.js';
import {type KnownMember} from './member-table.js';
import {type VmTable} from './vm-table.js';

/** Status of a daemon. A `suspect` daemon is silent: paused, cut off or dead. */
export type MemberStatus = 'listed' | 'starting' | 'live' | 'leaving' | 'suspect' | 'left';

/** A daemon, as shown to other modules. */
export type Member = {
	/** Name of the daemon and of its VM. */
	name: string;
	/** Incarnation of its process; increases with each start. */
	incarnation: bigint;
	status: MemberStatus;
	dataCentre: string;
	peerAddress: string;
	/** Configuration version that it last reported to be in force. */
	configurationVersion: number;
	/** Newest layout of the configuration document that it supports. */
	documentLayout: number;
	/** Milliseconds since its counter last advanced, at most the time for which this daemon has known it. */
	silentMs: number;
};

/** Options of {@link createMemberReader}. */
export type MemberReaderOptions = {
	self: {name: string; dataCentre: string};
	vms: VmTable;
	/** Configuration version in force on this daemon. */
	configurationVersion: () => number;
	/** Milliseconds of silence after which a daemon of this data centre is suspect. */
	suspectMs: number;
	/** The same for other data centres. */
	farSuspectMs: number;
};

/** Derives the current status of known daemons. */
export type MemberReader = {
	statusOf: (known: KnownMember) => MemberStatus;
	describe: (known: KnownMember) => Member;
};

/** Creates the reader of one daemon. */
export function createMemberReader(options: MemberReaderOptions): MemberReader {
	const {self, vms} = options;

	function isSilent({state, heardAt}: KnownMember): boolean {
		const limit = state.dataCentre === self.dataCentre ? options.suspectMs : options.farSuspectMs;
		return state.name !== self.name && performance.now() - heardAt > limit;
	}

	function statusOf(known: KnownMember): MemberStatus {
		const {state, heardAt} = known;
		if (state.phase === Phase.LEFT || vms.isGone(state.name)) {
			return 'left';
		}

		if (heardAt === -Infinity) {
			return 'listed';
		}

		if (isSilent(known)) {
			return 'suspect';
		}

		if (state.phase === Phase.LEAVING || vms.isLeaving(state.name)) {
			return 'leaving';
		}

		return state.phase === Phase.READY ? 'live' : 'starting';
	}

	return {
		statusOf,
		describe(known) {
			const {state} = known;
			const isSelf = state.name === self.name;
			return {
				name: state.name,
				incarnation: state.incarnation,
				status: statusOf(known),
				dataCentre: state.dataCentre,
				peerAddress: state.peerAddress,
				configurationVersion: isSelf ? options.configurationVersion() : Number(state.configurationVersion),
				documentLayout: state.documentLayout,
				// A daemon that was never heard counts from when it became known: a daemon that has just started can't tell how long others have been silent.
				silentMs: isSelf ? 0 : performance.now() - Math.max(known.heardAt, known.knownSince),
			};
		},
	};
}
