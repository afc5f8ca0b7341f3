/**
 * The daemons of the fleet with their status (live, starting, leaving, suspect,
 * left) and current process. Heartbeats go to a few neighbours, which forward what
 * is new to them; heartbeat counters of daemons in other data centres are
 * forwarded less often.
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
import {chooseNeighbours, sortMembers, type Neighbours} from './overlay.js';
import {createVmTable} from './vm-table.js';

/** A change of a daemon's status or process; `before` is absent for a new daemon. */
export type MemberChange = {
	before?: Pick<Member, 'status' | 'incarnation'>;
	member: Member;
};

/** Options of {@link createMembership}. */
export type MembershipOptions = {
	/** This daemon. Its incarnation must increase with each start, for example the time of start in milliseconds. */
	self: {name: string; incarnation: bigint; dataCentre: string; peerAddress: string};
	vms: VmListClient;
	send: SendToPeer;
	/** Sets the addresses of all peers whenever the members change. */
	setPeers: (peers: PeerAddress[]) => void;
	/** Address at which peers reach a VM of the platform's list. */
	peerAddressOf: (vm: VmEntry) => string;
	/** Configuration version in force on this daemon. */
	configurationVersion: () => number;
	/** Called when a newer process with this daemon's name is seen: this one must stop. */
	onSuperseded?: (incarnation: bigint) => void;
	/** Called when the VM list can't be read. */
	onListFault?: (error: LayerError) => void;
	/** Milliseconds between heartbeats; 1,000 by default. */
	beatMs?: number;
	/** Minimum milliseconds between forwarding a heartbeat counter from or to another data centre; 4,000 by default. */
	farBeatMs?: number;
	/** Milliseconds of silence after which a daemon of this data centre is suspect; 5,000 by default. */
	suspectMs?: number;
	/** The same for other data centres; 15,000 by default. */
	farSuspectMs?: number;
	/** Milliseconds between reads of the VM list, counted over all daemons together; at least `beatMs`, 2,000 by default. */
	listMs?: number;
	/** Milliseconds after which a silent daemon that is no longer listed is removed; 600,000 by default. */
	forgetMs?: number;
};

/** The members of the fleet, as known to this daemon. */
export type Membership = {
	members: () => Member[];
	member: (name: string) => Member | undefined;
	/** Calls the listener on each change. Returns a function that unsubscribes it. */
	subscribe: (listener: (change: MemberChange) => void) => () => void;
	/** Whether endpoints on this VM must get no new work. */
	isLeaving: (vm: string) => boolean;
	/** Sets the phase of this daemon; a phase only advances. */
	setPhase: (phase: Phase.READY | Phase.LEAVING | Phase.LEFT) => void;
	/** How many daemons have been heard and how many are listed, with the newest configuration version; used by the configuration. */
	reach: () => Reach;
	peers: () => ConfigurationPeers;
	confirmations: () => DaemonConfirmation[];
	/** The newest document layout that all daemons in service support. */
	oldestLayout: () => number;
	handlers: PeerHandlers;
	/** Reads the VM list once and starts to send heartbeats. */
	start: () => Promise<void>;
	stop: () => void;
};

const defaults = {
	beatMs: 1000, farBeatMs: 4000, suspectMs: 5000, farSuspectMs: 15_000, listMs: 2000, forgetMs: 600_000,
};
/** Heartbeats for which the same representatives of a silent data centre are contacted. */
const beatsPerRotation = 4;

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
		onChange: notifyChange,
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
	let listReaders: string[] = [self.name];
	let listSlot = 0;
	let timer: NodeJS.Timeout | undefined;
	let newestVersion = 0;
	let isChanged = true;
	let lastRotation = 0;

	function members(): Member[] {
		return Array.from(table.values(), known => reader.describe(known));
	}

	/**
	 * Daemons read the list in turns by the wall clock, because it is long and each
	 * read is expensive. Clock differences only shift the turns.
	 */
	function isListTurn(): boolean {
		const slot = Math.floor(Date.now() / settings.listMs);
		const isNew = slot !== listSlot;
		listSlot = slot;
		return isNew && slot % listReaders.length === listReaders.indexOf(self.name);
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
				gossip.forwardVm(vm.name, '');
			}

			refresh();
		} catch (error) {
			if (!(error instanceof LayerError)) {
				throw error;
			}

			options.onListFault?.(error);
		}
	}

	/** Updates all statuses, notifies listeners, and chooses neighbours if needed. */
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
			notifyChange(known);
		}

		const rotation = Math.floor(Number(own.state.beat) / beatsPerRotation);
		const shouldRotate = rotation !== lastRotation && reach.heard < reach.listed;
		if (isChanged || shouldRotate) {
			isChanged = false;
			lastRotation = rotation;
			updateTopology(rotation);
		}
	}

	/** Updates everything that depends on the set of members; at 650 daemons this is too expensive for each heartbeat. */
	function updateTopology(rotation: number): void {
		// This daemon stays in its own ring after it has left, so that its neighbours get its final heartbeat.
		const present = sortMembers(members().filter(member => member.status !== 'left' || member.name === self.name).map(member => ({...member, healthy: isHealthy(member)})));
		neighbours = chooseNeighbours({...self, healthy: true}, present, rotation);
		const heard = present.filter(member => member.status !== 'suspect' && member.status !== 'listed');
		reach = {heard: heard.length, listed: present.length, newestVersion};
		const healthy = present.filter(member => member.healthy);
		listReaders = healthy.map(member => member.name);
		peers = findPeers(healthy);
		publishAddresses(present);
	}

	function findPeers(healthy: readonly Member[]): ConfigurationPeers {
		const near = healthy.filter(member => member.dataCentre === self.dataCentre).map(member => member.name);
		return {
			nearby: near.filter(name => name !== self.name),
			distant: healthy.filter(member => member.dataCentre !== self.dataCentre).map(member => member.name),
			rank: Math.max(0, near.indexOf(self.name)),
		};
	}

	function publishAddresses(present: readonly Member[]): void {
		const addresses = present
			.filter(member => member.name !== self.name)
			.map(member => ({name: member.name, address: member.peerAddress}));
		options.setPeers(addresses);
	}

	function notifyChange(known: KnownMember): void {
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

function isHealthy({status}: Member): boolean {
	return status === 'live' || status === 'starting';
}
