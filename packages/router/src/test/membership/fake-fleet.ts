/** Memberships connected by fake links, with a fake VM list. */
import {
	createMembership, type MemberChange, type Membership, Phase,
} from '../../membership.js';
import {type VmEntry, type VmList} from '../../lib/platform/platform.js';
import {createFakeLinks, type FakeLinksOptions} from '../configuration/fake-links.js';

export type FakeFleet = {
	memberships: Map<string, Membership>;
	changes: Map<string, MemberChange[]>;
	names: string[];
	list: VmList;
	listReads: () => number;
	superseded: string[];
	start: (name: string, incarnation?: bigint) => Membership;
	stop: (name: string) => void;
	stopAll: () => void;
	/** How many daemons see the named daemon with this status. */
	countStatus: (name: string, status: string) => number;
};

export type FakeFleetOptions = FakeLinksOptions & {daemons: number; dataCentres: number};

/** Daemon N is in data centre N modulo the number of data centres. */
export function createFakeFleet(options: FakeFleetOptions): FakeFleet {
	const links = createFakeLinks(options);
	const names = Array.from({length: options.daemons}, (_, index) => `vm-${index}`);
	const entries = names.map((name, index): VmEntry => ({
		name, role: 'entry', dataCentre: `dc-${index % options.dataCentres}`, address: name, state: 'live',
	}));
	let reads = 0;
	const fleet: FakeFleet = {
		memberships: new Map(),
		changes: new Map(),
		names,
		list: {version: 1, vms: entries},
		listReads: () => reads,
		superseded: [],
		start(name, incarnation = 1n) {
			const link = links.join(name, incarnation);
			const index = Number(name.slice(3));
			const membership = createMembership({
				self: {
					name, incarnation, dataCentre: `dc-${index % options.dataCentres}`, peerAddress: name,
				},
				vms: {
					async read() {
						reads++;
						return structuredClone(fleet.list);
					},
				},
				send: link.send,
				setPeers() {
					// Fake links reach every daemon by name.
				},
				peerAddressOf: vm => vm.address,
				configurationVersion: () => 7,
				onSuperseded() {
					fleet.superseded.push(`${name}/${incarnation}`);
				},
			});
			link.handle(membership.handlers);
			fleet.memberships.set(name, membership);
			const changes: MemberChange[] = [];
			fleet.changes.set(name, changes);
			membership.subscribe(change => {
				changes.push(change);
			});
			void membership.start();
			membership.setPhase(Phase.READY);
			return membership;
		},
		stop(name) {
			fleet.memberships.get(name)?.stop();
			fleet.memberships.delete(name);
			links.leave(name);
		},
		stopAll() {
			for (const membership of fleet.memberships.values()) {
				membership.stop();
			}
		},
		countStatus: (name, status) => [...fleet.memberships.values()].filter(membership => membership.member(name)?.status === status).length,
	};
	return fleet;
}
