/** How other parts see a daemon. */
import {Phase} from '../../gen/hickorywalk/v1/membership_pb.js';
import {type KnownMember} from './member-table.js';
import {type VmTable} from './vm-table.js';

/** How a daemon is. `suspect` daemons are silent: paused, cut off or dead. */
export type MemberStatus = 'listed' | 'starting' | 'live' | 'leaving' | 'suspect' | 'left';

/** One daemon, for other parts. */
export type Member = {
	/** Name of the daemon and of its VM. */
	name: string;
	/** Its process; grows with each start. */
	incarnation: bigint;
	status: MemberStatus;
	dataCentre: string;
	peerAddress: string;
	/** Version that it last said to have in force. */
	configurationVersion: number;
	/** Newest layout of the document that it understands. */
	documentLayout: number;
	/** Milliseconds since its counter last went on, at most as long as it is known here. */
	silentMs: number;
};

/** Options of {@link createMemberReader}. */
export type MemberReaderOptions = {
	self: {name: string; dataCentre: string};
	vms: VmTable;
	/** Version that this daemon has in force. */
	configurationVersion: () => number;
	/** Milliseconds of silence after which a daemon of this data centre is suspect. */
	suspectMs: number;
	/** The same for other data centres. */
	farSuspectMs: number;
};

/** Tells how a known daemon is now. */
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
				// One that was never heard counts from when it was known of: a daemon that has just started can't tell how long others were silent.
				silentMs: isSelf ? 0 : performance.now() - Math.max(known.heardAt, known.knownSince),
			};
		},
	};
}
