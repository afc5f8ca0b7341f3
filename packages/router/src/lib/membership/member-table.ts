/**
 * What this daemon knows of every daemon: its newest process, the phase of that
 * process, and when its heartbeat counter last advanced.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {type MemberState, MemberStateSchema, Phase} from '../../gen/hickorywalk/v1/membership_pb.js';

/** A daemon as known to this one. */
export type KnownMember = {
	state: MemberState;
	/** Identifies name and incarnation in compact heartbeats. */
	id: number;
	/** When its counter last advanced, on this daemon's monotonic clock; `-Infinity` when it is only listed. */
	heardAt: number;
	/** When this daemon first learned of it. */
	knownSince: number;
	/** When its counter was last forwarded within this data centre, and to others. */
	forwardedNearAt: number;
	forwardedFarAt: number;
};

/** What a received state or counter changed. */
export type StateChange = 'none' | 'beat' | 'state';

/** Daemons by name. */
export type MemberTable = {
	get: (name: string) => KnownMember | undefined;
	values: () => Iterable<KnownMember>;
	/** Adds this daemon itself. */
	add: (state: MemberState) => KnownMember;
	/** Merges a whole state; older processes and counters change nothing. */
	apply: (state: MemberState) => StateChange;
	/** Merges a heartbeat counter; `undefined` when the id is not known. */
	applyBeat: (id: number, beat: number, configurationVersion: bigint) => {member: KnownMember; change: StateChange} | undefined;
	/** Adds a daemon that is in the VM list but has not been heard. */
	list: (name: string, dataCentre: string, peerAddress: string) => void;
	remove: (name: string) => void;
};

/** Creates an empty table. */
export function createMemberTable(): MemberTable {
	const members = new Map<string, KnownMember>();
	const byId = new Map<number, KnownMember>();

	function put(state: MemberState, heardAt: number): KnownMember {
		const before = members.get(state.name);
		if (before !== undefined) {
			byId.delete(before.id);
		}

		const member = {
			state, id: idOf(state.name, state.incarnation), heardAt, knownSince: before?.knownSince ?? performance.now(), forwardedNearAt: -Infinity, forwardedFarAt: -Infinity,
		};
		members.set(state.name, member);
		byId.set(member.id, member);
		return member;
	}

	function advanceBeat(member: KnownMember, beat: bigint, version: bigint, heardAt: number): StateChange {
		const {state} = member;
		if (beat <= state.beat) {
			return 'none';
		}

		state.beat = beat;
		state.configurationVersion = version;
		member.heardAt = Math.max(member.heardAt, heardAt);
		return 'beat';
	}

	return {
		get: name => members.get(name),
		values: () => members.values(),
		add: state => put(state, performance.now()),
		apply(state) {
			const known = members.get(state.name);
			const heardAt = performance.now() - state.silentMs;
			if (known === undefined || state.incarnation > known.state.incarnation) {
				put(state, heardAt);
				return 'state';
			}

			if (state.incarnation < known.state.incarnation) {
				return 'none';
			}

			const change = advanceBeat(known, state.beat, state.configurationVersion, heardAt);
			// The phase of a process only advances, so that a late update can't revert it.
			if (state.phase > known.state.phase) {
				known.state.phase = state.phase;
				return 'state';
			}

			return change;
		},
		applyBeat(id, beat, configurationVersion) {
			const member = byId.get(id);
			return member && {member, change: advanceBeat(member, BigInt(beat), configurationVersion, performance.now())};
		},
		list(name, dataCentre, peerAddress) {
			if (!members.has(name)) {
				put(create(MemberStateSchema, {
					name, dataCentre, peerAddress, phase: Phase.UNSPECIFIED,
				}), -Infinity);
			}
		},
		remove(name) {
			const known = members.get(name);
			if (known !== undefined) {
				members.delete(name);
				byId.delete(known.id);
			}
		},
	};
}

function idOf(name: string, incarnation: bigint): number {
	return Buffer.from(createHash('sha256').update(`${name}/${incarnation}`).digest()).readUInt32BE();
}
