/** Sends heartbeats with changes to neighbours, and forwards the changes that they send. */
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
	/** This daemon's entry in the table. */
	own: KnownMember;
	table: MemberTable;
	vms: VmTable;
	send: SendToPeer;
	neighbours: () => Neighbours;
	/** Milliseconds between heartbeats. */
	beatMs: number;
	/** Minimum milliseconds between forwarding a heartbeat counter from or to another data centre. */
	farBeatMs: number;
	/** Called for each member whose state changed. */
	onChange: (known: KnownMember) => void;
	/** Called when a newer process with this daemon's name is seen. */
	onSuperseded: (incarnation: bigint) => void;
};

/** What is forwarded of a member: its whole state, or only its heartbeat counter. */
export type UpdateKind = 'states' | 'beats';

/** Gossip of one daemon. */
export type Gossip = {
	receive: (origin: PeerOrigin, heartbeat: Heartbeat) => void;
	/** Queues an update of a member for all targets but the sender. */
	forward: (known: KnownMember, kind: UpdateKind, from: string) => void;
	/** Queues an update of a VM for all targets but the sender. */
	forwardVm: (name: string, from: string) => void;
	/** Sends a heartbeat to each target now. */
	sendAll: () => void;
	stop: () => void;
};

/** Milliseconds for which a change waits to be sent together with others. */
const flushDelayMs = 100;
/** A sender of heartbeats remains a target for this many intervals, so that daemons with different views don't cut each other off. */
const reciprocalBeats = 5;
const maxSilentMs = 0xFF_FF_FF_FF;

/** Creates the gossip of one daemon. */
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

	/** Neighbours, and daemons that have recently sent a heartbeat to this one. */
	function findTargets(): string[] {
		const oldest = performance.now() - (reciprocalBeats * options.beatMs);
		const {near, far} = options.neighbours();
		const reciprocal = [...outboxes].filter(([, outbox]) => outbox.heardAt >= oldest).map(([name]) => name);
		return [...new Set([...near, ...far, ...reciprocal])];
	}

	function isNear(name: string): boolean {
		return table.get(name)?.state.dataCentre === self.dataCentre;
	}

	function forward(known: KnownMember, kind: UpdateKind, from: string): void {
		const now = performance.now();
		const {name, dataCentre} = known.state;
		const nearMs = dataCentre === self.dataCentre ? 0 : options.farBeatMs;
		const includesNear = kind === 'states' || now - known.forwardedNearAt >= nearMs;
		const includesFar = kind === 'states' || now - known.forwardedFarAt >= options.farBeatMs;
		if (includesNear) {
			known.forwardedNearAt = now;
		}

		if (includesFar) {
			known.forwardedFarAt = now;
		}

		for (const to of targets) {
			if (to !== from && to !== name && (isNear(to) ? includesNear : includesFar)) {
				outboxOf(to)[kind].add(name);
			}
		}

		if (kind === 'states') {
			options.onChange(known);
			urgentTimer ??= setTimeout(flushUrgent, flushDelayMs);
		}
	}

	function forwardVm(name: string, from: string): void {
		for (const to of targets) {
			if (to !== from) {
				outboxOf(to).vms.add(name);
			}
		}

		urgentTimer ??= setTimeout(flushUrgent, flushDelayMs);
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
		return create(MemberStateSchema, {...state, silentMs: Math.min(maxSilentMs, Math.round(performance.now() - heardAt))});
	}

	function receive(origin: PeerOrigin, heartbeat: Heartbeat): void {
		const outbox = outboxOf(origin.name);
		outbox.heardAt = performance.now();
		if (!targets.includes(origin.name)) {
			targets.push(origin.name);
		}

		for (const state of [...(heartbeat.self ? [heartbeat.self] : []), ...heartbeat.news]) {
			applyState(state, origin.name);
		}

		for (const [index, id] of heartbeat.ids.entries()) {
			const version = heartbeat.newestVersion - BigInt(heartbeat.versionLags[index] ?? 0);
			const result = table.applyBeat(id, heartbeat.beats[index] ?? 0, version);
			if (result === undefined) {
				outbox.wantsAll = true;
			} else if (result.change === 'beat') {
				outbox.beats.delete(result.member.state.name);
				forward(result.member, 'beats', origin.name);
			}
		}

		for (const vm of heartbeat.vms) {
			if (vms.apply(vm)) {
				forwardVm(vm.name, origin.name);
			}
		}

		if (heartbeat.wantsAll) {
			queueFullState(outbox);
		}
	}

	function applyState(state: MemberState, from: string): void {
		if (state.name === self.name) {
			if (state.incarnation > self.incarnation) {
				options.onSuperseded(state.incarnation);
			}

			return;
		}

		const change = table.apply(state);
		const known = table.get(state.name);
		if (known !== undefined && change !== 'none') {
			forward(known, change === 'state' ? 'states' : 'beats', from);
		}
	}

	function queueFullState(outbox: Outbox): void {
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
		forward,
		forwardVm,
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
