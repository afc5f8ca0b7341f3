/**
 * Evidence that a process has ended, so that its shares can be reused before its
 * lease ends.
 *
 * There are two kinds of evidence. Both rest on assumptions about the platform
 * and can be turned off by settings. A VM that was in the platform's list and is
 * missing from a later version runs nothing any more, and its name is not reused
 * for another VM. A daemon binds a fixed peer port exclusively, so a new process
 * of the same name proves that the old one has ended, even if it was paused. The
 * absence of a VM that was never listed proves nothing: the VM may be too new.
 */
import {type VmList} from '../platform/platform.js';

/** Which evidence counts; see `LimiterSettings`. */
export type LivenessEvidenceOptions = {
	trustDepartures: boolean;
	trustRestarts: boolean;
};

/** Collected evidence about the processes of daemons. */
export type LivenessEvidence = {
	/** Passes in a version of the platform's list; a version that is not newer than the last is ignored. */
	observeList: (list: VmList) => void;
	/** Records that a daemon saw the VM in this version of the list. */
	observeListed: (name: string, version: number) => void;
	/** Records that a process of this daemon exists or existed. */
	observeProcess: (name: string, incarnation: bigint) => void;
	/** Whether this process is known to have ended. */
	hasEnded: (name: string, incarnation: bigint) => boolean;
	/** Whether the VM is known to have left the list. */
	isGone: (name: string) => boolean;
	/** Newest version of the list in which the VM was seen; 0 if none. */
	listedIn: (name: string) => number;
};

/** Creates a collection without evidence. */
export function createLivenessEvidence(options: LivenessEvidenceOptions): LivenessEvidence {
	const lastListed = new Map<string, number>();
	const processes = new Map<string, bigint>();
	let listVersion = 0;

	const listedIn = (name: string) => lastListed.get(name) ?? 0;

	function isGone(name: string): boolean {
		const version = listedIn(name);
		return options.trustDepartures && version > 0 && version < listVersion;
	}

	return {
		observeList(list) {
			if (list.version <= listVersion) {
				return;
			}

			listVersion = list.version;
			for (const vm of list.vms) {
				lastListed.set(vm.name, list.version);
			}
		},
		observeListed(name, version) {
			lastListed.set(name, Math.max(version, listedIn(name)));
		},
		observeProcess(name, incarnation) {
			const known = processes.get(name);
			if (known === undefined || incarnation > known) {
				processes.set(name, incarnation);
			}
		},
		hasEnded(name, incarnation) {
			const known = processes.get(name);
			const replaced = options.trustRestarts && known !== undefined && known > incarnation;
			return replaced || isGone(name);
		},
		isGone,
		listedIn,
	};
}
