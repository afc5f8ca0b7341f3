/**
 * Which VMs are leaving or gone. The platform's list is long, so that few
 * daemons read it at a time and pass on only what changed.
 */
import {create} from '@bufbuild/protobuf';
import {VmPhase, type VmState, VmStateSchema} from '../../gen/hickorywalk/v1/membership_pb.js';
import {type VmList} from '../platform/platform.js';

/** VMs that are not simply live. */
export type VmTable = {
	/** Takes a list that was read; returns what was not known. An older list changes nothing. */
	applyList: (list: VmList) => VmState[];
	/** Takes news of one VM; true when it was not known. */
	apply: (vm: VmState) => boolean;
	/** Leaving, or gone from a later version of the list than it was in. */
	isLeaving: (name: string) => boolean;
	isGone: (name: string) => boolean;
	/** `undefined` for a VM that was always live. */
	get: (name: string) => VmState | undefined;
	/** All that a daemon which has just started should know. */
	all: () => VmState[];
};

/** VMs gone for this many versions of the list are forgotten; their names come no more. */
const versionsRemembered = 10_000n;

const phases = {live: VmPhase.LIVE, leaving: VmPhase.LEAVING} as const;

/** Creates an empty table. */
export function createVmTable(): VmTable {
	let states = new Map<string, VmState>();
	let inLastList = new Set<string>();
	let listVersion = 0n;

	function isNews(vm: VmState): boolean {
		const known = states.get(vm.name);
		const phase = known?.phase ?? VmPhase.LIVE;
		return vm.listVersion > (known?.listVersion ?? 0n) && vm.phase !== phase;
	}

	function apply(vm: VmState): boolean {
		if (!isNews(vm)) {
			return false;
		}

		states.set(vm.name, vm);
		return true;
	}

	function forget(): void {
		states = new Map([...states].filter(([, vm]) => vm.phase !== VmPhase.GONE || vm.listVersion + versionsRemembered > listVersion));
	}

	return {
		applyList(list) {
			if (BigInt(list.version) < listVersion) {
				return [];
			}

			listVersion = BigInt(list.version);
			const names = new Set(list.vms.map(vm => vm.name));
			// Absence proves something only of a VM that an earlier list had: a new one may be missing yet.
			const gone = [...inLastList].filter(name => !names.has(name));
			inLastList = names;
			const news = [
				...list.vms.map(vm => create(VmStateSchema, {name: vm.name, listVersion, phase: phases[vm.state]})),
				...gone.map(name => create(VmStateSchema, {name, listVersion, phase: VmPhase.GONE})),
			].filter(vm => apply(vm));
			forget();
			return news;
		},
		apply,
		isLeaving(name) {
			const phase = states.get(name)?.phase;
			return phase === VmPhase.LEAVING || phase === VmPhase.GONE;
		},
		isGone: name => states.get(name)?.phase === VmPhase.GONE,
		get: name => states.get(name),
		all: () => [...states.values()],
	};
}
