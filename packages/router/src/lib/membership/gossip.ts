/** Tells neighbours what is news, and passes on what they tell. */
import {clone, create} from '@bufbuild/protobuf';
import {
	type Heartbeat, HeartbeatSchema, type MemberState, MemberStateSchema,
} from '../../gen/hickorywalk/v1/membership_pb.js';
import {type PeerOrigin, type SendToPeer} from '../links/peer-link.js';
import {type KnownMember, type MemberTable} from './member-table.js';
import {createOutbox, type Outbox} from './outbox.js';
import {type Neighbours} from './overlay.js';
import {type VmTable} from './vm-table.js';

/** Options of {@link createGossip}. */
export type GossipOptions = {
	/** This daemon, as it stands in the table. */
	own: KnownMember;
	table: MemberTable;
	vms: VmTable;
	send: SendToPeer;
	neighbours: () => Neighbours;
	/** Milliseconds between heartbeats. */
	beatMs: number;
	/** Milliseconds between passing on counters of daemons in other data centres. */
	farBeatMs: number;
	/** Told of each member whose state changed. */
	onChange: (known: KnownMember) => void;
	/** Told when a newer process of this daemon's name is heard of. */
	onSuperseded: (incarnation: bigint) => void;
};

/** Whether the whole state of a member is news, or only its counter. */
export type NewsKind = 'states' | 'beats';

/** Heartbeats of one daemon. */
export type Gossip = {
	receive: (origin: PeerOrigin, heartbeat: Heartbeat) => void;
	/** Puts news of a member into the outboxes of all but the one it came from. */
	passOn: (known: KnownMember, kind: NewsKind, from: string) => void;
	/** The same for a VM. */
	passOnVm: (name: string, from: string) => void;
	/** Sends a heartbeat to each neighbour now. */
	sendAll: () => void;
	stop: () => void;
};

/** Milliseconds that news of a change waits for company. */
const urgentMs = 100;
/** A daemon that sent a heartbeat counts as a neighbour for so many beats, so that views that differ cut no one off. */
const reciprocalBeats = 5;
const longestSilence = 0xFF_FF_FF_FF;

/** Creates the heartbeats of one daemon. */
export function createGossip(options: GossipOptions): Gossip {
	const {own, table, vms, send} = options;
	const self = own.state;
	const outboxes = new Map<string, Outbox>();
	let targets: string[] = [];
	let urgentTimer: NodeJS.Timeout | undefined;

	function outboxOf(name: string): Outbox {
		let outbox = outboxes.get(name);
		if (outbox === undefined) {
			outbox = createOutbox();
			outbox.wantsAll = true;
			outboxes.set(name, outbox);
		}

		return outbox;
	}

	/** Neighbours, and who sent to this daemon lately. */
	function findTargets(): string[] {
		const oldest = performance.now() - (reciprocalBeats * options.beatMs);
		const {near, far} = options.neighbours();
		const reciprocal = [...outboxes].filter(([, outbox]) => outbox.heardAt >= oldest).map(([name]) => name);
		return [...new Set([...near, ...far, ...reciprocal])];
	}

	function isNear(name: string): boolean {
		return table.get(name)?.state.dataCentre === self.dataCentre;
	}

	/** Puts news of a member into the outboxes of all but the one it came from. */
	function passOn(known: KnownMember, kind: NewsKind, from: string): void {
		const now = performance.now();
		const {name, dataCentre} = known.state;
		const nearMs = dataCentre === self.dataCentre ? 0 : options.farBeatMs;
		const tellsNear = kind === 'states' || now - known.toldNearAt >= nearMs;
		const tellsFar = kind === 'states' || now - known.toldFarAt >= options.farBeatMs;
		if (tellsNear) {
			known.toldNearAt = now;
		}

		if (tellsFar) {
			known.toldFarAt = now;
		}

		for (const to of targets) {
			if (to !== from && to !== name && (isNear(to) ? tellsNear : tellsFar)) {
				outboxOf(to)[kind].add(name);
			}
		}

		if (kind === 'states') {
			options.onChange(known);
			urgentTimer ??= setTimeout(flushUrgent, urgentMs);
		}
	}

	function passOnVm(name: string, from: string): void {
		for (const to of targets) {
			if (to !== from) {
				outboxOf(to).vms.add(name);
			}
		}

		urgentTimer ??= setTimeout(flushUrgent, urgentMs);
	}

	function flushUrgent(): void {
		urgentTimer = undefined;
		for (const name of targets) {
			const outbox = outboxOf(name);
			if (outbox.states.size > 0 || outbox.vms.size > 0) {
				sendHeartbeat(name);
			}
		}
	}

	function sendHeartbeat(to: string): void {
		const outbox = outboxOf(to);
		const beats = [...outbox.beats].filter(name => !outbox.states.has(name)).flatMap(name => table.get(name) ?? []);
		const newest = newestVersion(beats);
		send(to, {
			case: 'heartbeat',
			value: create(HeartbeatSchema, {
				self: clone(MemberStateSchema, own.state),
				news: [...outbox.states].flatMap(name => table.get(name) ?? []).map(known => withSilence(known)),
				ids: beats.map(known => known.id),
				beats: beats.map(({state}) => Number(state.beat)),
				versionLags: beats.map(({state}) => Number(newest - state.configurationVersion)),
				newestVersion: newest,
				vms: [...outbox.vms].flatMap(name => vms.get(name) ?? []),
				wantsAll: outbox.wantsAll,
			}),
		});
		outbox.states.clear();
		outbox.beats.clear();
		outbox.vms.clear();
		outbox.wantsAll = false;
	}

	function withSilence({state, heardAt}: KnownMember) {
		return create(MemberStateSchema, {...state, silentMs: Math.min(longestSilence, Math.round(performance.now() - heardAt))});
	}

	function receive(origin: PeerOrigin, heartbeat: Heartbeat): void {
		const outbox = outboxOf(origin.name);
		outbox.heardAt = performance.now();
		if (!targets.includes(origin.name)) {
			targets.push(origin.name);
		}

		for (const state of [...(heartbeat.self ? [heartbeat.self] : []), ...heartbeat.news]) {
			takeState(state, origin.name);
		}

		for (const [index, id] of heartbeat.ids.entries()) {
			const version = heartbeat.newestVersion - BigInt(heartbeat.versionLags[index] ?? 0);
			const result = table.applyBeat(id, heartbeat.beats[index] ?? 0, version);
			if (result === undefined) {
				outbox.wantsAll = true;
			} else if (result.change === 'beat') {
				outbox.beats.delete(result.member.state.name);
				passOn(result.member, 'beats', origin.name);
			}
		}

		for (const vm of heartbeat.vms) {
			if (vms.apply(vm)) {
				passOnVm(vm.name, origin.name);
			}
		}

		if (heartbeat.wantsAll) {
			tellAll(outbox);
		}
	}

	function takeState(state: MemberState, from: string): void {
		if (state.name === self.name) {
			if (state.incarnation > self.incarnation) {
				options.onSuperseded(state.incarnation);
			}

			return;
		}

		const change = table.apply(state);
		const known = table.get(state.name);
		if (known !== undefined && change !== 'none') {
			passOn(known, change === 'state' ? 'states' : 'beats', from);
		}
	}

	function tellAll(outbox: Outbox): void {
		for (const known of table.values()) {
			if (known.heardAt > -Infinity) {
				outbox.states.add(known.state.name);
			}
		}

		for (const vm of vms.all()) {
			outbox.vms.add(vm.name);
		}
	}

	return {
		receive,
		passOn,
		passOnVm,
		sendAll() {
			targets = findTargets();
			for (const name of targets) {
				sendHeartbeat(name);
			}
		},
		stop() {
			clearTimeout(urgentTimer);
			urgentTimer = undefined;
		},
	};
}

function newestVersion(members: readonly KnownMember[]): bigint {
	let newest = 0n;
	for (const {state} of members) {
		if (state.configurationVersion > newest) {
			newest = state.configurationVersion;
		}
	}

	return newest;
}
