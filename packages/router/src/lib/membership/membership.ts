/**
 * Who is there: live, starting, leaving, suspect, left; and since which
 * process. Heartbeats go to few neighbours and are passed on while they are
 * news; counters of daemons in other data centres are passed on less often.
 */
import {create} from '@bufbuild/protobuf';
import {MemberStateSchema, Phase} from '../../gen/hickorywalk/v1/membership_pb.js';
import {type ConfigurationPeers} from '../configuration/configuration-follower.js';
import {type Reach} from '../configuration/configuration-store.js';
import {type DaemonConfirmation} from '../configuration/confirmations.js';
import {documentLayout} from '../configuration/document.js';
import {LayerError} from '../errors/layer-error.js';
import {type PeerAddress} from '../links/peer-network.js';
import {type PeerHandlers, type SendToPeer} from '../links/peer-link.js';
import {type VmEntry, type VmListClient} from '../platform/platform.js';
import {createGossip} from './gossip.js';
import {createMemberReader, type Member} from './member.js';
import {createMemberTable, type KnownMember} from './member-table.js';
import {chooseNeighbours, inOrder, type Neighbours} from './overlay.js';
import {createVmTable} from './vm-table.js';

/** A daemon whose status or process changed; `before` is absent for a new one. */
export type MemberChange = {
	before?: Pick<Member, 'status' | 'incarnation'>;
	member: Member;
};

/** Options of {@link createMembership}. */
export type MembershipOptions = {
	/** This daemon. Its incarnation must grow with each start, such as the time of start in milliseconds. */
	self: {name: string; incarnation: bigint; dataCentre: string; peerAddress: string};
	vms: VmListClient;
	send: SendToPeer;
	/** Where peers are reached; given to the links when who is there changes. */
	setPeers: (peers: PeerAddress[]) => void;
	/** Address for peers of a VM in the platform's list. */
	peerAddressOf: (vm: VmEntry) => string;
	/** Version that this daemon has in force. */
	configurationVersion: () => number;
	/** Told when a newer process of this daemon's name is heard of: this one must stop. */
	onSuperseded?: (incarnation: bigint) => void;
	/** Told when the VM list can't be read. */
	onListFault?: (error: LayerError) => void;
	/** Milliseconds between heartbeats; 1,000 by default. */
	beatMs?: number;
	/** Milliseconds between passing on counters of daemons in other data centres; 4,000 by default. */
	farBeatMs?: number;
	/** Milliseconds of silence after which a daemon of this data centre is suspect; 5,000 by default. */
	suspectMs?: number;
	/** The same for other data centres; 15,000 by default. */
	farSuspectMs?: number;
	/** Milliseconds between reads of the VM list by all daemons together, at least `beatMs`; 2,000 by default. */
	listMs?: number;
	/** Milliseconds after which a silent daemon that is listed no more is forgotten; 600,000 by default. */
	forgetMs?: number;
};

/** Knowledge of all daemons. */
export type Membership = {
	members: () => Member[];
	member: (name: string) => Member | undefined;
	/** Calls on each change. Returns how to end it. */
	subscribe: (listener: (change: MemberChange) => void) => () => void;
	/** Whether endpoints on this VM must get no new work. */
	isLeaving: (vm: string) => boolean;
	/** Says where this daemon stands; it only goes forward. */
	setPhase: (phase: Phase.READY | Phase.LEAVING | Phase.LEFT) => void;
	/** For the configuration. */
	reach: () => Reach;
	peers: () => ConfigurationPeers;
	confirmations: () => DaemonConfirmation[];
	/** The oldest layout that a daemon in service knows. */
	oldestLayout: () => number;
	handlers: PeerHandlers;
	/** Reads the VM list once and starts to send heartbeats. */
	start: () => Promise<void>;
	stop: () => void;
};

const defaults = {
	beatMs: 1000, farBeatMs: 4000, suspectMs: 5000, farSuspectMs: 15_000, listMs: 2000, forgetMs: 600_000,
};
/** Beats for which the same daemons of a silent data centre are called. */
const beatsPerTurn = 4;

/**
 * Creates the membership of a daemon.
 *
 * @example
 * const membership = createMembership({self, vms: platform.vms, send: network.send, setPeers: network.setPeers, ...});
 * network.handle(membership.handlers);
 * await membership.start();
 */
export function createMembership(options: MembershipOptions): Membership {
	const settings = {...defaults, ...options};
	const {self} = options;
	const table = createMemberTable();
	const vms = createVmTable();
	const reader = createMemberReader({...settings, vms});
	const own = table.add(create(MemberStateSchema, {...self, phase: Phase.STARTING, documentLayout}));
	const gossip = createGossip({
		...settings,
		own,
		table,
		vms,
		neighbours: () => neighbours,
		onChange: tellChange,
		onSuperseded(incarnation) {
			options.onSuperseded?.(incarnation);
		},
	});
	const listeners = new Set<(change: MemberChange) => void>();
	const statuses = new Map<string, Pick<Member, 'status' | 'incarnation'>>();
	let listed = new Set<string>();
	let neighbours: Neighbours = {near: new Set(), far: new Set()};
	let reach: Reach = {heard: 1, listed: 1, newestVersion: 0};
	let peers: ConfigurationPeers = {nearby: [], distant: [], rank: 0};
	let listTurns: string[] = [self.name];
	let listSlot = 0;
	let timer: NodeJS.Timeout | undefined;
	let newestVersion = 0;
	let isChanged = true;
	let lastTurn = 0;

	function members(): Member[] {
		return Array.from(table.values(), known => reader.describe(known));
	}

	/**
	 * All daemons take turns by the wall clock, so that the long list costs each
	 * of them little. Clocks that differ only move the turns.
	 */
	function isListTurn(): boolean {
		const slot = Math.floor(Date.now() / settings.listMs);
		const isNew = slot !== listSlot;
		listSlot = slot;
		return isNew && slot % listTurns.length === listTurns.indexOf(self.name);
	}

	async function readList(): Promise<void> {
		try {
			const list = await options.vms.read();
			const entries = list.vms.filter(vm => vm.role === 'entry');
			listed = new Set(entries.map(vm => vm.name));
			for (const vm of entries) {
				table.list(vm.name, vm.dataCentre, options.peerAddressOf(vm));
			}

			for (const vm of vms.applyList(list)) {
				gossip.passOnVm(vm.name, '');
			}

			refresh();
		} catch (error) {
			if (!(error instanceof LayerError)) {
				throw error;
			}

			options.onListFault?.(error);
		}
	}

	/** Works out again who is how, tells listeners, and chooses neighbours if need be. */
	function refresh(): void {
		newestVersion = options.configurationVersion();
		for (const known of table.values()) {
			const {name} = known.state;
			const silentMs = performance.now() - known.heardAt;
			if (name !== self.name && !listed.has(name) && silentMs > settings.forgetMs) {
				table.remove(name);
				statuses.delete(name);
				isChanged = true;
				continue;
			}

			newestVersion = Math.max(newestVersion, Number(known.state.configurationVersion));
			tellChange(known);
		}

		const turn = Math.floor(Number(own.state.beat) / beatsPerTurn);
		const callsOthers = turn !== lastTurn && reach.heard < reach.listed;
		if (isChanged || callsOthers) {
			isChanged = false;
			lastTurn = turn;
			rearrange(turn);
		}
	}

	/** What depends on who is there; at 650 daemons this is too much for each beat. */
	function rearrange(turn: number): void {
		// This daemon stays in its own ring also when it has left: its last word still goes to its neighbours.
		const present = inOrder(members().filter(member => member.status !== 'left' || member.name === self.name).map(member => ({...member, sound: isSound(member)})));
		neighbours = chooseNeighbours({...self, sound: true}, present, turn);
		const heard = present.filter(member => member.status !== 'suspect' && member.status !== 'listed');
		reach = {heard: heard.length, listed: present.length, newestVersion};
		const sound = present.filter(member => member.sound);
		listTurns = sound.map(member => member.name);
		peers = findPeers(sound);
		tellAddresses(present);
	}

	function findPeers(sound: readonly Member[]): ConfigurationPeers {
		const near = sound.filter(member => member.dataCentre === self.dataCentre).map(member => member.name);
		return {
			nearby: near.filter(name => name !== self.name),
			distant: sound.filter(member => member.dataCentre !== self.dataCentre).map(member => member.name),
			rank: Math.max(0, near.indexOf(self.name)),
		};
	}

	function tellAddresses(present: readonly Member[]): void {
		const addresses = present
			.filter(member => member.name !== self.name)
			.map(member => ({name: member.name, address: member.peerAddress}));
		options.setPeers(addresses);
	}

	function tellChange(known: KnownMember): void {
		const before = statuses.get(known.state.name);
		const status = reader.statusOf(known);
		const {incarnation} = known.state;
		if (before?.status === status && before.incarnation === incarnation) {
			return;
		}

		isChanged = true;
		statuses.set(known.state.name, {status, incarnation});
		const member = reader.describe(known);
		for (const listener of listeners) {
			listener(before === undefined ? {member} : {before, member});
		}
	}

	function beat(): void {
		const {state} = own;
		state.beat++;
		state.configurationVersion = BigInt(options.configurationVersion());
		refresh();
		gossip.sendAll();
		if (isListTurn()) {
			void readList();
		}
	}

	return {
		members,
		member(name) {
			const known = table.get(name);
			return known && reader.describe(known);
		},
		subscribe(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
		isLeaving: vm => vms.isLeaving(vm),
		setPhase(phase) {
			if (phase > own.state.phase) {
				own.state.phase = phase;
				refresh();
				gossip.sendAll();
			}
		},
		reach: () => ({...reach, newestVersion}),
		peers: () => peers,
		confirmations: () => members()
			.filter(member => member.status !== 'left')
			.map(member => ({vm: member.name, version: member.configurationVersion, silentMs: member.silentMs})),
		oldestLayout: () => Math.min(documentLayout, ...members()
			.filter(member => member.status !== 'left' && member.status !== 'listed')
			.map(member => member.documentLayout)),
		handlers: {
			heartbeat: gossip.receive,
		},
		async start() {
			await readList();
			beat();
			timer = setInterval(beat, settings.beatMs);
		},
		stop() {
			clearInterval(timer);
			gossip.stop();
		},
	};
}

function isSound({status}: Member): boolean {
	return status === 'live' || status === 'starting';
}
