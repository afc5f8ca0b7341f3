/**
 * Tracks which VMs are leaving or gone. The platform's list is long, so only a few
 * daemons read it at a time and forward only what changed.
 */
import {create} from '@bufbuild/protobuf';
import {VmPhase, type VmState, VmStateSchema} from '../../gen/hickorywalk/v1/membership_pb.js';
import {type VmList} from '../platform/platform.js';

/** VMs whose phase has changed; a VM without an entry is live. */
export type VmTable = {
	/** Applies a list and returns the changes. A list older than the last one changes nothing. */
	applyList: (list: VmList) => VmState[];
	/** Applies an update of one VM; returns whether it was new. */
	apply: (vm: VmState) => boolean;
	/** Whether the VM is leaving, or is missing from a later version of the list than one that had it. */
	isLeaving: (name: string) => boolean;
	isGone: (name: string) => boolean;
	/** The latest update of a VM; `undefined` for one that was always live. */
	get: (name: string) => VmState | undefined;
	/** All updates, for a daemon that has just started. */
	all: () => VmState[];
};

/** VMs gone for this many versions of the list are forgotten; VM names are not reused. */
const versionsRemembered = 10_000n;

const phases = {live: VmPhase.LIVE, leaving: VmPhase.LEAVING} as const;

/** Creates an empty table. */
export function createVmTable(): VmTable {
	let states = new Map<string, VmState>();
	let inLastList = new Set<string>();
	let listVersion = 0n;

	function isUpdate(vm: VmState): boolean {
		const known = states.get(vm.name);
		const phase = known?.phase ?? VmPhase.LIVE;
		return vm.listVersion > (known?.listVersion ?? 0n) && vm.phase !== phase;
	}

	function apply(vm: VmState): boolean {
		if (!isUpdate(vm)) {
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
			// Only a VM that an earlier list had can be gone: a new VM may not be in the list yet.
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
